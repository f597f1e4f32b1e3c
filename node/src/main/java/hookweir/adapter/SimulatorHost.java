package hookweir.adapter;

import hookweir.Contract;

/** Writes the actions of one scheduler instance as records of the reply. */
final class SimulatorHost implements Contract.Host {
    /** Codes of the action records in the simulator protocol. */
    private static final int LOG = 1;
    private static final int TIMER = 2;
    private static final int PEER_MESSAGE = 3;
    private static final int CANCEL = 4;
    private static final int WATCH_LIST = 5;
    private static final int FAIL = 6;
    private static final int SEND = 8;
    private static final int PROBE = 9;
    private static final int REJECT = 11;
    private static final int FETCH_LIST = 12;
    /** Peer number that addresses all peers. */
    private static final int ALL_PEERS = 0xffff;

    private final int instanceId;
    private final FrameWriter out;

    SimulatorHost(int instanceId, FrameWriter out) {
        this.instanceId = instanceId;
        this.out = out;
    }

    @Override
    public void send(int requestId, int workerId, long withinUs) {
        out.record(SEND, instanceId).i32(requestId).i32(workerId).clampedU32(withinUs);
    }

    @Override
    public void reject(int requestId, long comeBackUs) {
        out.record(REJECT, instanceId).i32(requestId).clampedU32(comeBackUs);
    }

    @Override
    public void fail(int requestId) {
        out.record(FAIL, instanceId).i32(requestId);
    }

    @Override
    public void cancel(int requestId, int attempt) {
        out.record(CANCEL, instanceId).i32(requestId).u16(attempt);
    }

    @Override
    public void probe(int workerId) {
        out.record(PROBE, instanceId).i32(workerId);
    }

    @Override
    public void startTimer(long token, long delayUs) {
        out.record(TIMER, instanceId).i64(token).clampedU32(delayUs);
    }

    @Override
    public void watchWorkerList(boolean on) {
        out.record(WATCH_LIST, instanceId).u8(on ? 1 : 0);
    }

    @Override
    public void fetchWorkerList() {
        out.record(FETCH_LIST, instanceId);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        out.record(PEER_MESSAGE, instanceId).u16(peer == Contract.ALL_PEERS ? ALL_PEERS : peer).u16(body.length)
            .bytes(body, 0, body.length);
    }

    @Override
    public void log(String text) {
        out.record(LOG, instanceId).text(text);
    }
}
