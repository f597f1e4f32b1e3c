package hookweir.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * All that a scheduler is told at its start, checked. Made by {@link ConfigReader} only.
 *
 * @param name the scheduler's name, for the log
 * @param listenAddress where clients and call-backs connect
 * @param adminAddress the operators' address, or null
 * @param listServiceAddress where the list of workers is served
 * @param seed for the module's draws
 * @param maxDescriptors descriptors that the process may hold
 * @param maxHeldBytes bytes that may be held for others: bodies, results, output not yet read
 * @param maxHeldJobs jobs that may be held
 * @param cachedWorkerList the list as last held, in discovery's form, or null
 * @param settings the deployment's settings
 * @param inheritsListenSocket the clients' listening socket is the platform's, handed on as descriptor 0
 * @param handoverEnabled processes that share the socket may look for each other, by a Unix socket
 * @param handoverSocketPath the name by which they find each other; null where they may not, or where no socket is shared
 * @param sourceJson all of it as it was read
 */
public record Config(String name, InetSocketAddress listenAddress, InetSocketAddress adminAddress, InetSocketAddress listServiceAddress, long seed,
    int maxDescriptors, long maxHeldBytes, int maxHeldJobs, JsonNode cachedWorkerList, SettingsMapping settings, boolean inheritsListenSocket, boolean handoverEnabled, Path handoverSocketPath, JsonNode sourceJson) {
}
