package hookweir.net.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hookweir.Contract.Report;
import hookweir.config.ReportFields;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads load reports, as name=value pairs or as a JSON object, into the module's form. */
public final class LoadReportParser {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Figures of so many characters have no more digits than a double keeps. */
    private static final int MAX_PLAIN_CHARS = 15;
    private static final double DECIMAL_BASE = 10;

    private final List<String> fields;

    /** The settings name the fields that reports here have; others are passed over. */
    public LoadReportParser(String[] fields) {
        this.fields = List.of(fields);
    }

    /** A report from a body: JSON or pairs; null where it holds no figure. */
    public Report parseBody(byte[] body) {
        if (body.length > 0 && body[0] == '{') {
            try {
                return parseJson(JSON.readTree(body));
            } catch (IOException e) {
                return null;
            }
        }
        return parsePairs(new String(body, StandardCharsets.ISO_8859_1));
    }

    /** A report from a header; null where it holds no figure. */
    public Report parsePairs(String text) {
        if (text == null) {
            return null;
        }
        Report report = new Report();
        report.clear();
        boolean any = false;
        for (int from = 0, to; from < text.length(); from = to + 1) {
            to = from;
            while (to < text.length() && text.charAt(to) != ',' && !Character.isWhitespace(text.charAt(to))) {
                to++;
            }
            int eq = text.indexOf('=', from);
            if (eq > from && eq < to) {
                double value = parseNumber(text, eq + 1, to);
                any |= !Double.isNaN(value) && setField(report, text.substring(from, eq), value);
            }
        }
        return any ? report : null;
    }

    /** A report from an object; null where it holds no figure. */
    public Report parseJson(JsonNode object) {
        if (object == null || !object.isObject()) {
            return null;
        }
        Report report = new Report();
        report.clear();
        boolean any = false;
        for (String name : fields) {
            any |= object.path(name).isNumber() && setField(report, name, object.path(name).doubleValue());
        }
        return any ? report : null;
    }

    /** A figure there: plain decimals at once, other forms by the library; NaN where it is no number, and counts as absent. */
    private static double parseNumber(String text, int from, int to) {
        long whole = 0;
        double scale = 0;
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c >= '0' && c <= '9' && to - from <= MAX_PLAIN_CHARS) {
                whole = 10 * whole + c - '0';
                scale *= DECIMAL_BASE;
            } else if (c == '.' && scale == 0 && to - from <= MAX_PLAIN_CHARS) {
                scale = 1;
            } else {
                return parseWithLibrary(text.substring(from, to));
            }
        }
        return to == from ? Double.NaN : scale == 0 ? whole : whole / scale;
    }

    private static double parseWithLibrary(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private boolean setField(Report report, String name, double v) {
        return fields.contains(name) && Double.isFinite(v) && ReportFields.set(report, name, v);
    }
}
