package hookweir.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the simulator protocol with frames that are assembled here byte by byte. */
class SessionTest {
    /** Records the events and responds to some of them with actions. */
    private static final class RecordingDispatcher implements Contract.Dispatcher {
        final List<String> events = new ArrayList<>();
        final Contract.Host host;
        final Contract.Settings settings;

        RecordingDispatcher(Contract.Settings settings, Contract.Host host) {
            this.settings = settings;
            this.host = host;
        }

        @Override
        public void workerListReceived(long now, boolean delta, List<Contract.Worker> entries) {
            StringBuilder b = new StringBuilder("fleet " + delta);
            for (Contract.Worker w : entries) {
                b.append(' ').append(w.id).append(w.state).append(w.zone).append('/').append(w.size);
            }
            events.add(b.toString());
        }

        @Override
        public void workerListFailed(long now) {
            events.add("fleetFailed");
            host.watchWorkerList(true);
            host.fetchWorkerList();
        }

        @Override
        public void requestAccepted(long now, Contract.Request r) {
            events.add("request " + r.id + " " + r.costHintUs + " " + r.slots + " " + r.key + " " + r.deadlineAtUs
                + " " + r.clientRetry);
            host.send(r.id, 0x03124a07, 80_000);
            if (r.id == 13) {
                throw new IllegalStateException("thirteen");
            }
        }

        @Override
        public void progressReported(long now, int id, int attempt, int worker, double share) {
            events.add("progress " + id + " " + attempt + " " + share);
        }

        @Override
        public void streamStarted(long now, int id, int attempt) {
            events.add("streaming " + id + " " + attempt);
        }

        @Override
        public void attemptEnded(long now, int id, int attempt, int worker, Contract.Outcome outcome, long elapsed,
                boolean closed, Contract.Report report) {
            events.add("outcome " + id + " " + outcome + " " + elapsed + " " + closed + " "
                + (report == null ? "-" : report.freeSlots + " " + report.utilization + " " + report.outstanding));
            host.reject(id, 5);
            host.fail(id);
            host.cancel(id, attempt);
        }

        @Override
        public void requestAbandoned(long now, int id) {
            events.add("withdrawn " + id);
        }

        @Override
        public void probeEnded(long now, int worker, Contract.Outcome outcome, long elapsed, Contract.Report report) {
            events.add("probed " + worker + " " + outcome);
            host.probe(worker);
        }

        @Override
        public void peerMessageReceived(long now, int sender, byte[] body) {
            events.add("peer " + sender + " " + body.length);
            host.sendToPeer(Contract.ALL_PEERS, body);
        }

        @Override
        public void timerExpired(long now, long token) {
            events.add("timer " + token + " at " + now);
            host.startTimer(token, 500_000);
            host.log("hi");
        }
    }

    private static final String SETTINGS = "stats.fields=x0,utilization\nnew.key=whatever\nclasses.count=1\n"
        + "classes.0.semantics=read_like\nme=4\n";
    private final List<RecordingDispatcher> dispatchers = new ArrayList<>();
    private final ByteBuffer records = ByteBuffer.allocate(1 << 20);
    private int recordCount;

    private ByteBuffer record(int code) {
        recordCount++;
        return records.put((byte) code);
    }

    private void start(int instanceId, String info) {
        byte[] b = info.getBytes(StandardCharsets.UTF_8);
        record(5).putInt(instanceId).putLong(99).putInt(b.length).put(b);
    }

    private void defineList(int number, int... ids) {
        record(8).putShort((short) number).putInt(ids.length);
        for (int id : ids) {
            records.putLong(7).putShort((short) 1).putShort((short) 0).putInt(id).put((byte) 1).putFloat(1.5f)
                .putShort((short) 2);
        }
    }

    private byte[] frame(long clock) {
        ByteBuffer b = ByteBuffer.allocate(16 + records.position());
        b.putInt(recordCount).putInt(b.capacity()).putLong(clock).put(records.array(), 0, records.position());
        records.clear();
        recordCount = 0;
        return b.array();
    }

    private byte[] play(byte[]... frames) throws IOException, InvalidInputException {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] f : frames) {
            in.write(f);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Session(new ByteArrayInputStream(in.toByteArray()), out, (settings, seed, host) -> {
            RecordingDispatcher dispatcher = new RecordingDispatcher(settings, host);
            dispatchers.add(dispatcher);
            return dispatcher;
        }).run();
        return out.toByteArray();
    }

    private static byte[] hex(String text) {
        String h = text.replace(" ", "");
        byte[] b = new byte[h.length() / 2];
        for (int i = 0; i < b.length; i++) {
            b[i] = (byte) Integer.parseInt(h.substring(2 * i, 2 * i + 2), 16);
        }
        return b;
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws Exception {
        assertArrayEquals(hex("00000008 00000000"), play(hex("00000000 00000010 0000000000805c5a")));
    }

    @Test
    void requestAndTimerRepliesMatchByteForByte() throws Exception {
        start(3, SETTINGS);
        byte[] first = frame(1);
        record(2).putInt(3).putInt(0x5d3a91c4).putInt(12000).putShort((short) 3).putShort((short) 0).putFloat(2f)
            .putInt(0).putLong(77).putFloat(1.5f).putLong(8652250);
        record(7).putInt(3).putLong(0x4d);
        byte[] reply = play(first, frame(8412250));
        assertEquals("request 1564119492 12000 2.0 77 8652250 true", dispatchers.get(0).events.get(0));
        assertEquals("timer 77 at 8412250", dispatchers.get(0).events.get(1));
        assertArrayEquals(hex("00000008 00000000" + "00000033 00000003"
            + "08 00000003 5d3a91c4 03124a07 00013880"
            + "02 00000003 000000000000004d 0007a120"
            + "01 00000003 0002 6869"), reply);
        assertEquals(4, dispatchers.get(0).settings.schedulerIndex);
    }

    @Test
    void listNumbersCanBeReusedInOneBatch() throws Exception {
        start(1, SETTINGS);
        start(2, SETTINGS);
        defineList(0, 10, 11);
        record(11).putInt(1).putShort((short) 0).putInt(1).put((byte) 0);
        defineList(0, 12);
        record(11).putInt(2).putShort((short) 0).putInt(2).put((byte) 2);
        record(11).putInt(1).putShort((short) 9).putInt(2).put((byte) 3);
        play(frame(5));
        assertEquals(List.of("fleet false 10READY2/1.5 11READY2/1.5", "fleetFailed"), dispatchers.get(0).events);
        assertEquals(List.of("fleet true 12READY2/1.5"), dispatchers.get(1).events);
    }

    @Test
    void everyOtherEventAndAction() throws Exception {
        start(1, SETTINGS);
        record(10).putInt(1).putInt(5).putShort((short) 1).putInt(10).putShort((short) 254).putInt(900)
            .put((byte) 1).putInt(0).put((byte) 2).putFloat(3f).putFloat(0.5f);
        record(10).putInt(1).putInt(6).putShort((short) 0).putInt(10).putShort((short) 0).putInt(900)
            .put((byte) 0).putInt(0).put((byte) 0);
        record(4).putInt(1).putInt(10).putInt(40).putShort((short) 252).put((byte) 0);
        record(9).putInt(1).putInt(2).putShort((short) 2).put((byte) 1).put((byte) 2);
        record(3).putInt(1).putInt(5).putShort((short) 1).putInt(10).put((byte) 2).putFloat(0.25f);
        record(1).putInt(1).putInt(5).putInt(10).putShort((short) 1).putInt(40);
        record(12).putInt(1).putInt(5);
        byte[] reply = play(frame(5));
        assertEquals(List.of("outcome 5 FULL 900 true 3.0 0.5 NaN", "outcome 6 OK 900 false -",
            "probed 10 CONNECT_FAILED", "peer 2 2", "progress 5 1 0.25", "streaming 5 1", "withdrawn 5"),
            dispatchers.get(0).events);
        assertArrayEquals(hex("0000005e 00000008"
            + "0b 00000001 00000005 00000005" + "06 00000001 00000005" + "04 00000001 00000005 0001"
            + "0b 00000001 00000006 00000005" + "06 00000001 00000006" + "04 00000001 00000006 0000"
            + "09 00000001 0000000a" + "03 00000001 ffff 0002 0102"), reply);
    }

    @Test
    void anInstanceRestartsInTheBatchInWhichItStopped() throws Exception {
        start(1, SETTINGS);
        record(6).putInt(1);
        start(1, SETTINGS);
        record(12).putInt(1).putInt(5);
        play(frame(5));
        assertEquals(0, dispatchers.get(0).events.size());
        assertEquals(List.of("withdrawn 5"), dispatchers.get(1).events);
    }

    @Test
    void aDispatcherExceptionIsReportedAsFatal() throws Exception {
        start(1, SETTINGS);
        record(2).putInt(1).putInt(13).putInt(0).putShort((short) 0).putShort((short) 0).putFloat(1f).putInt(0)
            .putLong(0).putFloat(0).putLong(10);
        String reply = new String(play(frame(5)), StandardCharsets.ISO_8859_1);
        assertTrue(reply.contains("\n\0\0\0\1") && reply.contains("thirteen"), reply);
    }

    @Test
    void aVeryLongBatch() throws Exception {
        start(1, SETTINGS);
        for (int i = 0; i < 40_000; i++) {
            record(7).putInt(1).putLong(i);
        }
        byte[] reply = play(frame(5));
        assertEquals(80_000, ByteBuffer.wrap(reply).getInt(4));
    }

    private void assertRejected(byte[] input, String message) {
        InvalidInputException e = assertThrows(InvalidInputException.class, () -> play(input));
        assertEquals(message, e.getMessage());
    }

    @Test
    void invalidInputIsReportedWithItsPosition() {
        assertRejected(hex("00000000 000000"), "input ends inside a frame header at byte 7");
        assertRejected(hex("00000000 00000004 0000000000000000"), "frame length 4 is out of range at byte 4");
        assertRejected(hex("00000000 00000020 0000000000000000"), "input ends inside a frame of 32 bytes at byte 16");
        assertRejected(hex("00000001 00000015 0000000000000000 1f 00000001"), "unknown event code 31 at byte 16");
        assertRejected(hex("00000001 00000019 0000000000000000 0c 00000001 00000002"),
            "event 12 for unknown instance 1 at byte 16");
        assertRejected(hex("00000000 00000011 0000000000000000 00"), "bytes are left over behind the last record at byte 16");
        assertRejected(hex("00000001 00000012 0000000000000000 08 00"), "a record runs past the end of its frame at byte 17");
        start(1, "me=1\nclasses.count=x\n");
        assertRejected(frame(1), "setting classes.count has the unusable value 'x' at byte 38");
        start(1, "classes.count=1\nclasses.0.semantics=odd\n");
        assertRejected(frame(1), "setting classes.0.semantics has the unusable value 'odd' at byte 49");
        start(1, "limits.cancel=maybe\n");
        assertRejected(frame(1), "setting limits.cancel has the unusable value 'maybe' at byte 33");
        start(1, SETTINGS);
        record(11).putInt(1).putShort((short) 3).putInt(1).put((byte) 0);
        assertRejected(frame(1), "list number 3 was not defined at byte " + (16 + 17 + SETTINGS.length() + 5));
    }

    @Test
    void theCommandLineReportsInvalidInput() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = Main.run(new ByteArrayInputStream(hex("0000")), out, new PrintStream(err));
        assertEquals(1, status);
        assertEquals(0, out.size());
        assertEquals("hookweir adapter: input ends inside a frame header at byte 2", err.toString().strip());
        assertEquals(0, Main.run(new ByteArrayInputStream(new byte[0]), out, new PrintStream(err)));
    }

    @Test
    void settingsAreReadAndUnknownOnesIgnored() throws Exception {
        start(1, "classes.count=2\nclasses.1.semantics=idempotency_key\nclasses.1.key_scope=zone\n"
            + "classes.0.semantics=non_idempotent\nfamily_info.class_stretch=2.0,1.75\norgs.count=1\n"
            + "orgs.0.allowance_per_s=12.5\nweights=live\nstats.via=pull\nlimits.max_attempts=4\n"
            + "prices.probe=0.002\nfamily_info.queue_order=backfill\nbogus=1\n\n");
        play(frame(1));
        Contract.Settings s = dispatchers.get(0).settings;
        assertEquals(Contract.Idempotency.NON_IDEMPOTENT, s.classes.get(0).idempotency);
        assertEquals(Contract.DedupScope.ZONE, s.classes.get(1).dedupScope);
        assertEquals(1.75, s.classes.get(1).softDeadlineStretch);
        assertEquals(12.5, s.tenantRatePerS[0]);
        assertEquals(Contract.SizeMetric.LIVE, s.sizeMetric);
        assertEquals(Contract.LoadReportSource.PROBES, s.loadReportSource);
        assertEquals(4, s.maxAttempts);
        assertEquals(0.002, s.probePrice);
        assertTrue(!s.headOfLineBlocking);
    }
}
