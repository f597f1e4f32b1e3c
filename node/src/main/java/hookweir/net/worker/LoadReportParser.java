package hookweir.net.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hookweir.Contract.Report;
import hookweir.config.ReportFields;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Parses load reports, given as name=value pairs or as a JSON object, into the form of the scheduling module. */
public final class LoadReportParser {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Numbers of at most this many characters have no more digits than a double represents exactly. */
    private static final int MAX_PLAIN_CHARS = 15;
    private static final double DECIMAL_BASE = 10;

    private final List<String> fields;

    /** Creates a parser for the report fields named in the settings; it ignores other fields. */
    public LoadReportParser(String[] fields) {
        this.fields = List.of(fields);
    }

    /** Parses a body, as JSON or as pairs; returns null if it holds no value. */
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

    /** Parses a header of name=value pairs; returns null if it holds no value. */
    public Report parsePairs(String text) {
        if (text == null) {
            return null;
        }
        Report report = new Report();
        report.clear();
        boolean hasValue = false;
        for (int start = 0, end; start < text.length(); start = end + 1) {
            end = start;
            while (end < text.length() && text.charAt(end) != ',' && !Character.isWhitespace(text.charAt(end))) {
                end++;
            }
            int equals = text.indexOf('=', start);
            if (equals > start && equals < end) {
                double value = parseNumber(text, equals + 1, end);
                hasValue |= !Double.isNaN(value) && setField(report, text.substring(start, equals), value);
            }
        }
        return hasValue ? report : null;
    }

    /** Parses a JSON object; returns null if it holds no value. */
    public Report parseJson(JsonNode object) {
        if (object == null || !object.isObject()) {
            return null;
        }
        Report report = new Report();
        report.clear();
        boolean hasValue = false;
        for (String name : fields) {
            hasValue |= object.path(name).isNumber() && setField(report, name, object.path(name).doubleValue());
        }
        return hasValue ? report : null;
    }

    /** Parses a number: plain decimals here, other forms by the library. Returns NaN for text that is no number, which counts as absent. */
    private static double parseNumber(String text, int start, int end) {
        long whole = 0;
        double scale = 0;
        for (int i = start; i < end; i++) {
            char c = text.charAt(i);
            if (c >= '0' && c <= '9' && end - start <= MAX_PLAIN_CHARS) {
                whole = 10 * whole + c - '0';
                scale *= DECIMAL_BASE;
            } else if (c == '.' && scale == 0 && end - start <= MAX_PLAIN_CHARS) {
                scale = 1;
            } else {
                return parseWithLibrary(text.substring(start, end));
            }
        }
        return end == start ? Double.NaN : scale == 0 ? whole : whole / scale;
    }

    private static double parseWithLibrary(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private boolean setField(Report report, String name, double value) {
        return fields.contains(name) && Double.isFinite(value) && ReportFields.set(report, name, value);
    }
}
