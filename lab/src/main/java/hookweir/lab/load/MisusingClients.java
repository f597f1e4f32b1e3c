package hookweir.lab.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients that send a {@link Misuse} on one thread, until they are closed: a single one as fast as it can, or many that each write a few bytes at
 * a time. A client whose connection ends opens another one.
 */
final class MisusingClients extends Thread implements AutoCloseable {
    private static final int BATCH_BYTES = 64 * 1024;
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final int SLOW_WRITE_BYTES = 700;
    private static final int SLOW_PAUSE_MS = 100;

    private final int port;
    private final Misuse misuse;
    private final List<Client> clients = new ArrayList<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private volatile boolean stopped;
    private long sentBytes;

    /** Starts the clients. One client sends at full speed, several send slowly. */
    MisusingClients(int port, Misuse misuse, int count) {
        super("misuse");
        this.port = port;
        this.misuse = misuse;
        for (int i = 0; i < count; i++) {
            clients.add(new Client("bad" + i));
        }
        setDaemon(true);
        start();
    }

    @Override
    public void run() {
        boolean slow = clients.size() > 1;
        try {
            while (!stopped) {
                for (Client client : clients) {
                    client.write(slow ? SLOW_WRITE_BYTES : BATCH_BYTES);
                    client.discardInput();
                }
                if (slow) {
                    Thread.sleep(SLOW_PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        clients.forEach(Client::disconnect);
    }

    /** Stops the clients; returns the number of bytes that they sent. */
    long finish() throws InterruptedException {
        stopped = true;
        join();
        return sentBytes;
    }

    @Override
    public void close() {
        stopped = true;
    }

    private final class Client {
        private final String name;
        private SocketChannel channel;
        private ByteBuffer output = ByteBuffer.allocate(0);
        private long messages;

        Client(String name) {
            this.name = name;
        }

        void write(int bytes) {
            try {
                connect();
                fill();
                ByteBuffer part = output.slice(output.position(), Math.min(bytes, output.remaining()));
                int written = channel.write(part);
                output.position(output.position() + written);
                sentBytes += written;
            } catch (IOException e) {
                disconnect();
            }
        }

        private void connect() throws IOException {
            if (channel == null) {
                channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                channel.configureBlocking(false);
                output = ByteBuffer.allocate(0);
            }
        }

        /** Begins the next messages; a slow client that has begun a large one stops there. */
        private void fill() {
            if (output.hasRemaining() || clients.size() > 1 && output.capacity() > 0) {
                return;
            }
            int size = 0;
            List<byte[]> batch = new ArrayList<>();
            while (size < (clients.size() > 1 ? 1 : BATCH_BYTES)) {
                batch.add(misuse.message(name, messages++));
                size += batch.get(batch.size() - 1).length;
            }
            output = ByteBuffer.allocate(size);
            batch.forEach(output::put);
            output.flip();
        }

        void discardInput() {
            try {
                while (channel != null) {
                    readBuffer.clear();
                    int length = channel.read(readBuffer);
                    if (length < 0) {
                        disconnect();
                    } else if (length == 0) {
                        return;
                    }
                }
            } catch (IOException e) {
                disconnect();
            }
        }

        void disconnect() {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                output.clear(); // it counts as closed either way
            }
            channel = null;
        }
    }
}
