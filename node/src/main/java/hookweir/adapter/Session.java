package hookweir.adapter;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.Contract.Request;
import hookweir.Contract.Settings;
import hookweir.Contract.Worker;
import hookweir.Contract.WorkerState;
import hookweir.Policy;
import hookweir.config.ReportFields;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Translates batches of the wire into events of {@link Contract} and its actions into replies. */
final class Session {
    /** Makes the decisions of one instance. */
    interface DispatcherFactory {
        Contract.Dispatcher create(Settings settings, long seed, Contract.Host host);
    }

    private static final int MAX_LISTS = 16;
    private static final int ENTRY_BYTES = 23;

    private final FrameReader in;
    private final FrameWriter out;
    private final DispatcherFactory factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<Worker>> lists = new ArrayList<>();
    private final Report report = new Report();
    private long nowUs;

    /** One simulated dispatcher and its place on the wire. */
    private static final class Instance {
        Contract.Dispatcher dispatcher;
        String[] reportFields;
    }

    Session(InputStream in, OutputStream out) {
        this(in, out, (settings, seed, host) -> new Policy(settings, seed, host));
    }

    Session(InputStream in, OutputStream out, DispatcherFactory maker) {
        this.in = new FrameReader(in);
        this.out = new FrameWriter(out);
        this.factory = maker;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    void run() throws IOException, InvalidInputException {
        while (in.readFrame()) {
            long records = in.u32();
            in.skip(4);
            nowUs = in.i64();
            for (long i = 0; i < records; i++) {
                handleEvent();
            }
            if (!in.isAtEnd()) {
                throw new InvalidInputException("bytes are left over behind the last record", in.position());
            }
            out.flush();
        }
    }

    private void handleEvent() throws InvalidInputException {
        long at = in.position();
        int code = in.u8();
        if (code == 8) {
            defineList(at);
            return;
        }
        if (code == 0 || code > 12) {
            throw new InvalidInputException("unknown event code " + code, at);
        }
        int who = in.i32();
        if (code == 5) {
            startInstance(who, at);
            return;
        }
        Instance it = instances.get(who);
        if (it == null) {
            throw new InvalidInputException("event " + code + " for unknown instance " + Integer.toUnsignedString(who), at);
        }
        switch (code) {
            case 1 -> {
                int id = in.i32();
                in.skip(4);
                int attempt = in.u16();
                in.skip(4);
                runGuarded(who, () -> it.dispatcher.streamStarted(nowUs, id, attempt));
            }
            case 2 -> deliverRequest(who, it);
            case 3 -> {
                int id = in.i32();
                int attempt = in.u16();
                int worker = in.i32();
                int topic = in.u8();
                float share = in.f32();
                runGuarded(who, () -> it.dispatcher.progressReported(nowUs, id, attempt, worker, topic == 1 ? 0 : share));
            }
            case 4 -> {
                int worker = in.i32();
                long elapsed = in.u32();
                Outcome outcome = readOutcome();
                Report load = readLoadReport(it);
                runGuarded(who, () -> it.dispatcher.probeEnded(nowUs, worker, outcome, elapsed, load));
            }
            case 6 -> instances.remove(who);
            case 7 -> {
                long token = in.i64();
                runGuarded(who, () -> it.dispatcher.timerExpired(nowUs, token));
            }
            case 9 -> {
                int sender = in.i32();
                byte[] body = in.bytes(in.u16());
                runGuarded(who, () -> it.dispatcher.peerMessageReceived(nowUs, sender, body));
            }
            case 10 -> {
                int id = in.i32();
                int attempt = in.u16();
                int worker = in.i32();
                Outcome outcome = readOutcome();
                long elapsed = in.u32();
                boolean closed = in.u8() != 0;
                in.skip(4);
                Report load = readLoadReport(it);
                runGuarded(who, () -> it.dispatcher.attemptEnded(nowUs, id, attempt, worker, outcome, elapsed, closed, load));
            }
            case 11 -> deliverList(who, it);
            case 12 -> {
                int id = in.i32();
                runGuarded(who, () -> it.dispatcher.requestAbandoned(nowUs, id));
            }
            default -> throw new InvalidInputException("unknown event code " + code, at);
        }
    }

    private void startInstance(int who, long at) throws InvalidInputException {
        long seed = in.i64();
        long n = in.u32();
        long infoAt = in.position();
        SettingsParser parsed = SettingsParser.parse(in.bytes(n), infoAt);
        Instance it = new Instance();
        it.reportFields = parsed.reportFields;
        instances.put(who, it);
        runGuarded(who, () -> it.dispatcher = factory.create(parsed.settings, seed, new SimulatorHost(who, out)));
    }

    private void defineList(long at) throws InvalidInputException {
        int number = in.u16();
        if (number >= MAX_LISTS) {
            throw new InvalidInputException("list number " + number + " is over " + (MAX_LISTS - 1), at + 1);
        }
        long n = in.u32();
        List<Worker> entries = new ArrayList<>((int) Math.min(n, 1 << 16));
        for (long i = 0; i < n; i++) {
            long entryAt = in.position();
            Worker w = new Worker();
            w.startedAtUs = in.i64();
            w.cell = in.u16();
            w.kind = in.u16();
            w.id = in.i32();
            int state = in.u8();
            if (state > 2) {
                throw new InvalidInputException("unknown worker state " + state, entryAt + 16);
            }
            w.state = state == 1 ? WorkerState.READY : state == 0 ? WorkerState.DRAINING : WorkerState.GONE;
            w.size = in.f32();
            w.zone = in.u16();
            entries.add(w);
        }
        lists.set(number, entries);
    }

    private void deliverList(int who, Instance it) throws InvalidInputException {
        long at = in.position();
        int number = in.u16();
        in.skip(4);
        int scope = in.u8();
        if (scope == 3) {
            runGuarded(who, () -> it.dispatcher.workerListFailed(nowUs));
            return;
        }
        if (scope > 3) {
            throw new InvalidInputException("unknown scope " + scope + " of a list", at + 6);
        }
        List<Worker> entries = number < MAX_LISTS ? lists.get(number) : null;
        if (entries == null) {
            throw new InvalidInputException("list number " + number + " was not defined", at);
        }
        runGuarded(who, () -> it.dispatcher.workerListReceived(nowUs, scope == 2, entries));
    }

    private void deliverRequest(int who, Instance it) throws InvalidInputException {
        Request request = new Request();
        request.id = in.i32();
        long hint = in.u32();
        int bits = in.u16();
        request.costHintUs = (bits & 1) != 0 ? hint : 0;
        request.clientRetry = (bits & 2) != 0;
        request.requestClass = in.u16();
        request.slots = in.f32();
        request.tenant = in.i32();
        request.key = in.i64();
        request.memory = in.f32();
        request.deadlineAtUs = in.i64();
        runGuarded(who, () -> it.dispatcher.requestAccepted(nowUs, request));
    }

    private Outcome readOutcome() throws InvalidInputException {
        long at = in.position();
        int code = in.u16();
        return switch (code) {
            case 0 -> Outcome.OK;
            case 255 -> Outcome.ERROR;
            case 254 -> Outcome.FULL;
            case 253 -> Outcome.TIMEOUT;
            case 252 -> Outcome.CONNECT_FAILED;
            case 251 -> Outcome.RESET;
            case 250 -> Outcome.CANCELLED;
            case 249 -> Outcome.MOOT;
            default -> throw new InvalidInputException("unknown outcome " + code, at);
        };
    }

    private Report readLoadReport(Instance it) throws InvalidInputException {
        int n = in.u8();
        if (n == 0) {
            return null;
        }
        report.clear();
        for (int i = 0; i < n; i++) {
            double v = in.f32();
            if (i < it.reportFields.length) {
                ReportFields.set(report, it.reportFields[i], v);
            }
        }
        return report;
    }

    /** Runs one event; a failure of the decisions becomes FATAL. */
    private void runGuarded(int who, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError e) {
            StackTraceElement[] trace = e.getStackTrace();
            String where = trace.length > 0 ? " at " + trace[0] : "";
            out.record(10, who).text(e + where);
        }
    }
}
