package hookweir.lab.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Measures the transport alone: answers each read with one fixed response without parsing it. A scheduler handles three
 * request-response pairs for each job (client, worker, callback), so a third of this rate is the upper bound for a scheduler
 * on the same transport.
 */
public final class Echo {
    private static final byte[] RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    private Echo() {
    }

    /** Serves on the given loopback port until the process is killed. */
    public static void main(String[] args) throws IOException, InterruptedException {
        TCPNIOTransport tcp = TCPNIOTransportBuilder.newInstance()
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1)
            .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().copy().setCorePoolSize(1).setMaxPoolSize(1))
            .setWorkerThreadPoolConfig(null)
            .setTcpNoDelay(true)
            .setReadBufferSize(4096)
            .setProcessor(FilterChainBuilder.stateless().add(new TransportFilter()).add(new BaseFilter() {
                @Override
                public NextAction handleRead(FilterChainContext ctx) {
                    Buffer in = ctx.getMessage();
                    in.tryDispose();
                    ctx.write(Buffers.wrap(ctx.getMemoryManager(), RESPONSE));
                    return ctx.getStopAction();
                }
            }).build())
            .build();
        tcp.bind("127.0.0.1", Integer.parseInt(args[0]));
        tcp.start();
        Thread.currentThread().join();
    }
}
