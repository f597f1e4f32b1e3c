package hookweir.adapter;

import hookweir.Contract.Settings;
import hookweir.config.InvalidSettingException;
import hookweir.config.SettingsMapping;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Parses the path=value lines of a START record; {@link SettingsMapping} interprets them. */
final class SettingsParser {
    final Settings settings;
    final String[] reportFields;

    private SettingsParser(SettingsMapping mapped) {
        settings = mapped.policySettings;
        reportFields = mapped.reportFields;
    }

    static SettingsParser parse(byte[] info, long infoPosition) throws InvalidInputException {
        Map<String, String> values = new HashMap<>();
        Map<String, Long> positions = new HashMap<>();
        int start = 0;
        while (start < info.length) {
            int end = start;
            while (end < info.length && info[end] != '\n') {
                end++;
            }
            String line = new String(info, start, end - start, StandardCharsets.UTF_8).strip();
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(line.substring(0, separator), line.substring(separator + 1));
                positions.put(line.substring(0, separator), infoPosition + start);
            } else if (!line.isEmpty()) {
                throw new InvalidInputException("setting without '='", infoPosition + start);
            }
            start = end + 1;
        }
        try {
            return new SettingsParser(SettingsMapping.of(values));
        } catch (InvalidSettingException e) {
            throw new InvalidInputException(e.getMessage(), positions.getOrDefault(e.key, infoPosition));
        }
    }
}
