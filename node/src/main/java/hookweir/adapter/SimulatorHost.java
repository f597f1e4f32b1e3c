package hookweir.adapter;

import hookweir.Contract;

/** Writes the actions of one instance as records of the reply. */
final class SimulatorHost implements Contract.Host {
    private final int instanceId;
    private final FrameWriter out;

    SimulatorHost(int who, FrameWriter out) {
        this.instanceId = who;
        this.out = out;
    }

    @Override
    public void send(int requestId, int workerId, long withinUs) {
        out.record(8, instanceId).i32(requestId).i32(workerId).clampedU32(withinUs);
    }

    @Override
    public void reject(int requestId, long comeBackUs) {
        out.record(11, instanceId).i32(requestId).clampedU32(comeBackUs);
    }

    @Override
    public void fail(int requestId) {
        out.record(6, instanceId).i32(requestId);
    }

    @Override
    public void cancel(int requestId, int attempt) {
        out.record(4, instanceId).i32(requestId).u16(attempt);
    }

    @Override
    public void probe(int workerId) {
        out.record(9, instanceId).i32(workerId);
    }

    @Override
    public void startTimer(long token, long delayUs) {
        out.record(2, instanceId).i64(token).clampedU32(delayUs);
    }

    @Override
    public void watchWorkerList(boolean on) {
        out.record(5, instanceId).u8(on ? 1 : 0);
    }

    @Override
    public void fetchWorkerList() {
        out.record(12, instanceId);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        out.record(3, instanceId).u16(peer == Contract.ALL_PEERS ? 0xffff : peer).u16(body.length)
            .bytes(body, 0, body.length);
    }

    @Override
    public void log(String text) {
        out.record(1, instanceId).text(text);
    }
}
