package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.net.server.RequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against request smuggling and misread messages: unambiguously framed requests are decoded in any chunking, anything else is
 * rejected, and nothing after it is read.
 */
class RequestDecoderTest {
    private static final String PLAIN = "POST /api/7f?x=1 HTTP/1.1\r\nHost: h\r\nReq-Id: 1\r\nContent-Length: 4\r\n\r\nwork";
    private static final String CHUNKED = "POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nT: 1\r\n\r\n";
    private static final String BARE = "GET /healthz HTTP/1.0\r\n\r\n";

    /** Returns the number of messages that ended in these bytes, fed in parts; or the negated status of a fault. */
    private static int read(RequestDecoder decoder, byte[] bytes, List<Integer> lengths) {
        int messages = 0;
        for (int from = 0, i = 0; from < bytes.length; i++) {
            int to = i < lengths.size() ? Math.min(bytes.length, from + lengths.get(i)) : bytes.length;
            int end = feed(decoder, bytes, from, to) - from;
            if (decoder.fault() != 0) {
                return -decoder.fault();
            }
            assertTrue(end > 0);
            messages += decoder.isComplete() ? 1 : 0;
            from += end;
        }
        return messages;
    }

    /** Feeds bytes as the HTTP server does when the memory budget admits every body. */
    private static int feed(RequestDecoder decoder, byte[] bytes, int from, int to) {
        int end = decoder.feed(bytes, from, to);
        while (decoder.announcedBodyBytes() > 0 && decoder.fault() == 0) {
            decoder.admitBody();
            end = decoder.feed(bytes, end, to);
        }
        return end;
    }

    private static int read(String head) {
        return read(new RequestDecoder(), head.getBytes(StandardCharsets.ISO_8859_1), List.of());
    }

    @Property(seed = "21", tries = 300)
    void messageEndsAreFoundInAnyChunking(@ForAll @Size(max = 60) List<@IntRange(min = 1, max = 30) Integer> lengths) {
        RequestDecoder decoder = new RequestDecoder();
        assertEquals(4, read(decoder, (PLAIN + CHUNKED + BARE + PLAIN).getBytes(StandardCharsets.US_ASCII), lengths));
        assertFalse(decoder.isMidMessage());
    }

    @Property(seed = "22", tries = 1000)
    void corruptedInputDoesNotThrow(@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 65_535) Integer> noise,
            @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 30) Integer> lengths) {
        byte[] bytes = (CHUNKED + PLAIN).getBytes(StandardCharsets.US_ASCII);
        for (int n : noise) {
            bytes[(n >>> 8) % bytes.length] = (byte) n;
        }
        assertTrue(read(new RequestDecoder(), bytes, lengths) <= 2);
    }

    /** The HTTP library alone accepted each of these heads, or waited for more bytes. */
    @ParameterizedTest
    @CsvSource({
        "400, 'Content-Length: 4|Transfer-Encoding: chunked'", "400, 'Transfer-Encoding: chunked|Content-Length: 4'",
        "400, 'Content-Length: 4|Content-Length: 5'", "400, 'Content-Length: -4'", "400, 'Content-Length: 4x'", "400, 'Content-Length: +4'",
        "400, 'Content-Length:'", "400, 'Content-Length: 99999999999999999999'", "413, 'Content-Length: 62914560'",
        "400, 'Transfer-Encoding: gzip, chunked'", "400, 'Transfer-Encoding: chunkedx'", "400, 'Content-Length : 4'",
        "400, 'A: b| c'", "400, 'no header'", "400, 'A: b\u0001'", "400, 'A\u00e4: b'","400, 'Upgrade: h2c|Upgrade: x'", "400, 'Req-Id: 1|Req-Id: 2'",
        "400, 'Host: other'", "417, 'Expect: wonders'"})
    void ambiguousHeadersAreRejected(int status, String headers) {
        assertEquals(-status, read("POST /api HTTP/1.1\r\nHost: h\r\n" + headers.replace("|", "\r\n") + "\r\n\r\nwork"));
    }

    @ParameterizedTest
    @CsvSource({"400, 'POST /a b HTTP/1.1'", "400, 'POST /a%zz HTTP/1.1'", "400, 'POST /a\u00ff HTTP/1.1'", "400, 'POST a HTTP/1.1'", "400, 'POST /a'",
        "405, 'BREW /a HTTP/1.1'", "505, 'POST /a HTTP/2.0'", "400, ''"})
    void malformedRequestLinesAreRejected(int status, String line) {
        assertEquals(-status, read(line + "\r\nHost: h\r\n\r\n"));
    }

    @Test
    void bareLineFeedsAndOversizedHeadsAreRejected() {
        assertEquals(-400, read("POST /api HTTP/1.1\nHost: h\n\n"));
        assertEquals(-400, read("POST /api HTTP/1.1\r\nHost: h\rA: b\r\n\r\n"));
        assertEquals(-400, read("POST /api HTTP/1.1\r\n\r\n")); // no host
        assertEquals(-411, read("POST /api HTTP/1.1\r\nHost: h\r\n\r\n"));
        assertEquals(-431, read("POST /api HTTP/1.1\r\n" + "A: b\r\n".repeat(65)));
        assertEquals(-431, read("POST /api HTTP/1.1\r\nA: " + "b".repeat(Transport.MAX_HEADER_BYTES)));
        assertEquals(-413, read("POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"));
        assertEquals(-400, read("POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n"));
        assertEquals(-400, read("POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab"));
    }
}
