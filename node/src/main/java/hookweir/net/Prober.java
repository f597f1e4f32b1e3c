package hookweir.net;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;

/** Probes workers for the decision module: a health check, or a call for a load report. Belongs to the {@link Loop}. */
final class Prober {
    private final Loop loop;
    private final Invariants invariants;
    private final ActiveSettings active;
    private final WorkerConnectionPool egress;
    private final Contract.Dispatcher module;

    Prober(Loop loop, Invariants invariants, ActiveSettings active, WorkerConnectionPool egress, Contract.Dispatcher module) {
        this.loop = loop;
        this.invariants = invariants;
        this.active = active;
        this.egress = egress;
        this.module = module;
    }

    /** Probes a worker, and tells the module how it ended. */
    void probe(int workerId) {
        WorkerEndpoint worker = egress.worker(workerId);
        if (worker == null) {
            loop.post(() -> module.probeEnded(loop.nowUs(), workerId, Outcome.CONNECT_FAILED, 0, null));
            return;
        }
        invariants.count("probes");
        String path = active.settings().loadReportSource == Contract.LoadReportSource.NONE ? "/healthz" : "/load";
        new HttpCall(loop, egress, invariants, active.probeTimeoutUs(), worker, "GET", path, WorkerConnectionPool.REUSE_SETTLED) {
            @Override
            void onEnd(Outcome outcome, OutboundConnection.ResponsePart last, byte[] body) {
                Report report = last == null ? null : parseLoadReport(last, body);
                long elapsedUs = loop.nowUs() - startUs;
                loop.post(() -> module.probeEnded(loop.nowUs(), workerId, outcome, elapsedUs, report));
            }
        }.start();
    }

    /** The load report in an answer's header or body, or null. */
    private Report parseLoadReport(OutboundConnection.ResponsePart last, byte[] body) {
        return last.load() != null ? active.loadReport().parsePairs(last.load()) : active.loadReport().parseBody(body);
    }
}
