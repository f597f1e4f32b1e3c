package hookweir.adapter;

import hookweir.Contract.Settings;
import hookweir.config.InvalidSettingException;
import hookweir.config.SettingsMapping;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads the path=value lines of START; what they mean is said by {@link SettingsMapping}. */
final class SettingsParser {
    final Settings settings;
    final String[] reportFields;

    private SettingsParser(SettingsMapping mapped) {
        settings = mapped.policySettings;
        reportFields = mapped.reportFields;
    }

    static SettingsParser parse(byte[] info, long atByte) throws InvalidInputException {
        Map<String, String> values = new HashMap<>();
        Map<String, Long> places = new HashMap<>();
        int from = 0;
        while (from < info.length) {
            int to = from;
            while (to < info.length && info[to] != '\n') {
                to++;
            }
            String line = new String(info, from, to - from, StandardCharsets.UTF_8).strip();
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq), line.substring(eq + 1));
                places.put(line.substring(0, eq), atByte + from);
            } else if (!line.isEmpty()) {
                throw new InvalidInputException("setting without '='", atByte + from);
            }
            from = to + 1;
        }
        try {
            return new SettingsParser(SettingsMapping.of(values));
        } catch (InvalidSettingException e) {
            throw new InvalidInputException(e.getMessage(), places.getOrDefault(e.key, atByte));
        }
    }
}
