package hookweir.net;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;

/** Probes workers for the decision module, with a health check or a request for a load report. Belongs to the {@link Loop}. */
final class Prober {
    private final Loop loop;
    private final Invariants invariants;
    private final ActiveSettings active;
    private final WorkerConnectionPool workerConnections;
    private final Contract.Dispatcher module;

    Prober(Loop loop, Invariants invariants, ActiveSettings active, WorkerConnectionPool workerConnections, Contract.Dispatcher module) {
        this.loop = loop;
        this.invariants = invariants;
        this.active = active;
        this.workerConnections = workerConnections;
        this.module = module;
    }

    /** Probes a worker and reports the outcome to the module. */
    void probe(int workerId) {
        WorkerEndpoint worker = workerConnections.worker(workerId);
        if (worker == null) {
            loop.post(() -> module.probeEnded(loop.nowUs(), workerId, Outcome.CONNECT_FAILED, 0, null));
            return;
        }
        invariants.count("probes");
        String path = active.settings().loadReportSource == Contract.LoadReportSource.NONE ? "/healthz" : "/load";
        new HttpCall(loop, workerConnections, invariants, active.probeTimeoutUs(), worker, "GET", path, WorkerConnectionPool.REUSE_SETTLED) {
            @Override
            void onEnd(Outcome outcome, OutboundConnection.ResponsePart lastPart, byte[] body) {
                Report report = lastPart == null ? null : parseLoadReport(lastPart, body);
                long elapsedUs = loop.nowUs() - startUs;
                loop.post(() -> module.probeEnded(loop.nowUs(), workerId, outcome, elapsedUs, report));
            }
        }.start();
    }

    /** Parses the load report in a response's header or body; null if there is none. */
    private Report parseLoadReport(OutboundConnection.ResponsePart lastPart, byte[] body) {
        return lastPart.load() != null ? active.loadReport().parsePairs(lastPart.load()) : active.loadReport().parseBody(body);
    }
}
