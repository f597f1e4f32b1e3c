package hookweir.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The validated configuration of a scheduler process. Created by {@link ConfigReader} only.
 *
 * @param name the scheduler's name, for the log
 * @param listenAddress address for clients and for callbacks from workers
 * @param adminAddress address of the admin endpoints, or null
 * @param listServiceAddress address of the list service
 * @param seed seed of the policy's random numbers
 * @param maxDescriptors maximum number of open file descriptors
 * @param maxHeldBytes maximum number of bytes held: job bodies, results and output not read yet
 * @param maxHeldJobs maximum number of jobs held
 * @param cachedWorkerList the cached worker list, in the format of the list service, or null
 * @param settings the deployment's settings
 * @param inheritsListenSocket true if the platform passes the listening socket on as descriptor 0
 * @param handoverEnabled true if processes that share the listening socket may hand over to each other through a Unix socket
 * @param handoverSocketPath path of that Unix socket; null if handover is disabled or no socket is shared
 * @param sourceJson the parsed configuration file
 */
public record Config(String name, InetSocketAddress listenAddress, InetSocketAddress adminAddress, InetSocketAddress listServiceAddress, long seed,
    int maxDescriptors, long maxHeldBytes, int maxHeldJobs, JsonNode cachedWorkerList, SettingsMapping settings, boolean inheritsListenSocket,
    boolean handoverEnabled, Path handoverSocketPath, JsonNode sourceJson) {
}
