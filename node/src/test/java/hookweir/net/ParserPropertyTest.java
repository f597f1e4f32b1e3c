package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import hookweir.Contract;
import hookweir.config.ConfigReader;
import hookweir.config.InvalidSettingException;
import hookweir.net.discovery.LineSplitter;
import hookweir.net.discovery.ListUpdate;
import hookweir.net.server.Callback;
import hookweir.net.server.InboundRequest;
import hookweir.net.server.RequestParser;
import hookweir.net.worker.LoadReportParser;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Feeds randomly split valid messages and random garbage to every parser, from fixed seeds. */
class ParserPropertyTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ENTRY = "{\"id\":\"s-5be2a07c\",\"addr\":\"10.1.0.18:8080\",\"zone\":\"a\",\"kind\":\"m2\","
        + "\"cell\":3,\"state\":\"SERVING\",\"weight\":1.5,\"started_ms\":17}";
    private static final String LIST = "{\"version\":41,\"full\":true,\"servers\":[" + ENTRY + "]}";
    private final Invariants invariants = new Invariants();
    private final RequestParser requests = new RequestParser(java.util.Map.of("render", 0), List.of(new Contract.RequestClass()), java.util.Map.of());
    private final LoadReportParser loads = new LoadReportParser(new String[] {"x0", "utilization"});

    /** A copy of the text with some bytes overwritten. */
    private static byte[] corrupted(String text, List<Integer> noise) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int overwrite : noise) {
            bytes[(overwrite >>> 8) % bytes.length] = (byte) overwrite;
        }
        return bytes;
    }

    /** Splits a message into chunks of these lengths; the rest is the last chunk. */
    private static List<byte[]> chunks(byte[] whole, List<Integer> lengths) {
        List<byte[]> pieces = new ArrayList<>();
        int from = 0;
        for (int i = 0; from < whole.length; i++) {
            int to = i < lengths.size() ? Math.min(whole.length, from + lengths.get(i)) : whole.length;
            pieces.add(Arrays.copyOfRange(whole, from, to));
            from = to;
        }
        return pieces;
    }

    @Property(seed = "11", tries = 300)
    void linesAreSplitInAnyChunking(@ForAll @Size(max = 40) List<@IntRange(min = 1, max = 60) Integer> lengths) {
        List<String> got = new ArrayList<>();
        LineSplitter lines = new LineSplitter(500, line -> got.add(line == null ? "too long" : new String(line, StandardCharsets.UTF_8)));
        String text = LIST + "\n\n" + "x".repeat(501) + "\n" + ENTRY + "\nrest";
        chunks(text.getBytes(StandardCharsets.UTF_8), lengths).forEach(lines::feed);
        assertEquals(List.of(LIST, "", "too long", ENTRY), got);
    }

    /** Lists may be indented, and a truncated one must not spoil the next. */
    @Property(seed = "13", tries = 300)
    void indentedAndTruncatedObjectsAreSeparated(@ForAll @Size(max = 40) List<@IntRange(min = 1, max = 60) Integer> lengths) throws Exception {
        List<String> got = new ArrayList<>();
        LineSplitter lines = new LineSplitter(5000, line -> got.add(new String(line, StandardCharsets.UTF_8)));
        var json = new com.fasterxml.jackson.databind.ObjectMapper();
        String compact = json.readTree(LIST).toString();
        String indented = json.writerWithDefaultPrettyPrinter().writeValueAsString(json.readTree(LIST)).replace("\n", "");
        String spread = json.writerWithDefaultPrettyPrinter().writeValueAsString(json.readTree(LIST));
        String cut = spread.substring(0, spread.lastIndexOf('\n', spread.length() / 2));
        String text = spread + "\n" + cut + "\n" + compact + "\n" + cut + "\n\n" + spread + "\n" + "{\"version\":4,\"se\n" + compact + "\n";
        chunks(text.getBytes(StandardCharsets.UTF_8), lengths).forEach(lines::feed);
        String half = cut.replace("\n", "");
        assertEquals(List.of(indented, half, compact, half, "", indented, "{\"version\":4,\"se", compact), got);
    }

    @Property(seed = "12", tries = 500)
    void corruptedListsAreCountedOrParsed(@ForAll @Size(min = 1, max = 6) List<@IntRange(min = 0, max = 65_535) Integer> noise) {
        ListUpdate.Parser parser = new ListUpdate.Parser(new String[] {"a"}, new String[] {"m2"}, invariants, () -> 0);
        ListUpdate whole = parser.parse(LIST.getBytes(StandardCharsets.UTF_8));
        assertEquals(17_000, whole.entries().get(0).worker().startedAtUs);
        assertEquals(0x5be2a07c, whole.entries().get(0).worker().id);
        long before = invariants.counted("discovery bad line") + invariants.counted("discovery bad entry");
        ListUpdate update = parser.parse(corrupted(LIST, noise));
        boolean counted = invariants.counted("discovery bad line") + invariants.counted("discovery bad entry") > before;
        assertTrue(counted || update != null);
        for (ListUpdate.Entry e : update == null ? List.<ListUpdate.Entry>of() : update.entries()) {
            assertTrue(e.worker().kind >= 0 && e.worker().zone >= 0 && e.worker().startedAtUs >= 0);
        }
    }

    @Property(seed = "13", tries = 500)
    void headersAreParsedOrRejected(@ForAll String id, @ForAll String number, @ForAll String extra) {
        try {
            Contract.Request r = requests.parse(new InboundRequest.Headers(id, "render", number, "1", number, extra, null, null, null), "/api/" + id, 5, 1000);
            assertTrue(r.deadlineAtUs >= 1000 && r.costHintUs >= 0 && Double.isFinite(r.slots));
        } catch (RequestParser.BadRequestException e) {
            assertNotNull(e.getMessage());
        }
    }

    @Property(seed = "14", tries = 300)
    void validHeadersAreParsed(@ForAll @IntRange(min = 0, max = 90_000) int ms, @ForAll long key) throws Exception {
        Contract.Request r = requests.parse(new InboundRequest.Headers("a-1", "render", "" + ms, null, "7", "slots=2,x=1", null, null, null),
            "/api/" + Long.toHexString(key), 5, 1000);
        assertEquals(1000 + ms * 1000L, r.deadlineAtUs);
        assertEquals(key, r.key);
        assertEquals(2, r.slots);
    }

    /** Owners are mapped by their names in the settings; a job with an unknown or missing owner has no tenant but is accepted. */
    @Example
    void ownersMapToTenantsOfTheSettings() throws Exception {
        RequestParser shared = new RequestParser(Map.of("render", 0), List.of(new Contract.RequestClass()), Map.of("acme_east", 0, "b", 1));
        assertEquals(0, parseTenant(shared, "acme east"));
        assertEquals(1, parseTenant(shared, "b"));
        assertEquals(RequestParser.NO_TENANT, parseTenant(shared, "c"));
        assertEquals(RequestParser.NO_TENANT, parseTenant(shared, ""));
        assertEquals(RequestParser.NO_TENANT, parseTenant(shared, null));
        assertEquals(0, parseTenant(requests, "b"), "no tenants in the settings, so that the header is ignored");
    }

    private static int parseTenant(RequestParser parser, String owner) throws RequestParser.BadRequestException {
        return parser.parse(new InboundRequest.Headers("a-1", "render", null, null, null, null, owner, null, null), "/api", 5, 1000).tenant;
    }

    @Property(seed = "15", tries = 300)
    void resultsAreUnchanged(@ForAll String result) throws IOException {
        byte[] utf8 = result.getBytes(StandardCharsets.UTF_8);
        String text = new String(utf8, StandardCharsets.UTF_8);
        byte[] body = JSON.writeValueAsBytes(Map.of("id", "1", "from", "s", "state", "done", "result", text));
        assertArrayEquals(utf8, Callback.parse(body).result());
    }

    @Property(seed = "16", tries = 500)
    void corruptedCallbacksAndLoadReportsDoNotThrow(@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 65_535) Integer> noise) {
        Callback callback = Callback.parse(corrupted("{\"id\":\"9b1f\",\"from\":\"s-0b\",\"state\":\"running\",\"share\":0.4}", noise));
        assertTrue(callback == null || callback.id() != null && callback.workerId() != null && callback.state() != null);
        for (String text : List.of("x0=2,utilization=0.61", "{\"x0\":2,\"utilization\":0.61}")) {
            assertEquals(0.61, loads.parseBody(text.getBytes(StandardCharsets.UTF_8)).utilization);
            Contract.Report r = loads.parseBody(corrupted(text, noise));
            assertTrue(r == null || !Double.isInfinite(r.freeSlots) && !Double.isInfinite(r.utilization));
        }
    }

    @Property(seed = "17", tries = 200)
    void corruptedConfigurationErrorNamesItsKey(@ForAll @Size(min = 1, max = 4) List<@IntRange(min = 0, max = 65_535) Integer> noise) throws IOException {
        Path file = Files.createTempFile("hookweir", ".json");
        try {
            Files.write(file, corrupted("{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"a\",\"limits\":{\"sockets\":99},"
                + "\"settings\":{\"classes\":[{\"name\":\"x\",\"aim_us\":3}],\"zones\":[\"a\"]}}", noise));
            assertNotNull(ConfigReader.fromFile(file, Map.of()).settings());
        } catch (InvalidSettingException e) {
            assertTrue(e.getMessage().contains(e.key) && !e.key.isEmpty());
        } finally {
            Files.delete(file);
        }
    }

    @Property(seed = "18", tries = 12)
    void requestsAndResponsesMaySplitAnywhere(@ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 40) Integer> lengths) throws IOException {
        try (TestNode scheduler = new TestNode("read_like"); Socket client = scheduler.connect()) {
            for (byte[] piece : chunks(TestNode.job("c1").getBytes(StandardCharsets.US_ASCII), lengths)) {
                client.getOutputStream().write(piece);
            }
            try (Socket worker = scheduler.workerListener.accept()) {
                assertTrue(TestNode.receive(worker).endsWith("\r\n\r\nwork"));
                String accepted = "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
                for (byte[] piece : chunks(accepted.getBytes(StandardCharsets.US_ASCII), lengths)) {
                    worker.getOutputStream().write(piece);
                }
                assertTrue(scheduler.sendCallback("c1", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(TestNode.receive(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Property(seed = "19", tries = 40)
    void garbageInputDoesNotAffectOtherClients(@ForAll @Size(min = 1, max = 400) List<@IntRange(min = 0, max = 255) Integer> garbage,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 0, max = 65_535) Integer> noise) throws IOException {
        try (TestNode scheduler = new TestNode("read_like")) {
            byte[] raw = new byte[garbage.size()];
            for (int i = 0; i < raw.length; i++) {
                raw[i] = garbage.get(i).byteValue();
            }
            for (byte[] bytes : List.of(raw, corrupted(TestNode.job("d1"), noise))) {
                try (Socket s = scheduler.connect()) {
                    s.getOutputStream().write(bytes);
                    s.shutdownOutput();
                    TestNode.receive(s);
                } catch (IOException e) {
                    assertNotNull(e); // a reset is a valid response to garbage
                }
            }
            assertTrue(scheduler.request("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200"));
        }
    }
}
