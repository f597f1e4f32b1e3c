package hookweir.net.egress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hookweir.Contract.Report;
import hookweir.config.ReportFields;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads load reports, as name=value pairs or as a JSON object, into the module's form. */
public final class LoadReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> fields;

    /** The settings name the fields that reports here have; others are passed over. */
    public LoadReport(String[] fields) {
        this.fields = List.of(fields);
    }

    /** A report from a body: JSON or pairs; null where it holds no figure. */
    public Report ofBody(byte[] body) {
        if (body.length > 0 && body[0] == '{') {
            try {
                return ofJson(JSON.readTree(body));
            } catch (IOException e) {
                return null;
            }
        }
        return ofPairs(new String(body, StandardCharsets.ISO_8859_1));
    }

    /** A report from a header; null where it holds no figure. */
    public Report ofPairs(String text) {
        if (text == null) {
            return null;
        }
        Report report = new Report();
        report.clear();
        boolean any = false;
        for (String pair : text.split("[,\\s]+")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                try {
                    any |= set(report, pair.substring(0, eq), Double.parseDouble(pair.substring(eq + 1)));
                } catch (NumberFormatException e) {
                    // A figure that is no number counts as absent.
                    continue;
                }
            }
        }
        return any ? report : null;
    }

    /** A report from an object; null where it holds no figure. */
    public Report ofJson(JsonNode object) {
        if (object == null || !object.isObject()) {
            return null;
        }
        Report report = new Report();
        report.clear();
        boolean any = false;
        for (String name : fields) {
            any |= object.path(name).isNumber() && set(report, name, object.path(name).doubleValue());
        }
        return any ? report : null;
    }

    private boolean set(Report report, String name, double v) {
        return fields.contains(name) && Double.isFinite(v) && ReportFields.set(report, name, v);
    }
}
