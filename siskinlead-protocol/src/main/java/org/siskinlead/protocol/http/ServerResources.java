package org.siskinlead.protocol.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * What the servers of a process may use together for connections that its peers open. Each limit follows from one of the
 * process: its largest heap, or its open files.
 */
public final class ServerResources {
    /** Part of the heap that may be held, in buffers outside of it, as bytes that have arrived and are not decoded. */
    private static final int UNDECODED_DIVISOR = 8;
    /** Part of the heap that may be held as responses that peers have not read. */
    private static final int UNSENT_DIVISOR = 6;
    /** Part of the heap that open connections may use, apart from their requests and responses. */
    private static final int CONNECTIONS_DIVISOR = 6;
    /** Heap bytes of a connection with its handlers and timer. */
    private static final int CONNECTION_HEAP_BYTES = 8_192;
    /**
     * Part of the open files that connections of callers may use. The request of each may take two connections to targets,
     * one of which is being closed; the rest is for the store and files.
     */
    private static final int OPEN_FILES_DIVISOR = 4;
    /** Open files of a process whose limit cannot be read. */
    private static final int DEFAULT_OPEN_FILES = 1_024;

    private static final String OPEN_FILES_LIMIT = "Max open files";

    private final RequestMemory requests;
    private final ConnectionBytes undecoded;
    private final ConnectionBytes unsent;
    private final OpenConnections connections;
    private final ServerCounters counters;

    private ServerResources(
            RequestMemory requests,
            ConnectionBytes undecoded,
            ConnectionBytes unsent,
            OpenConnections connections,
            ServerCounters counters) {
        this.requests = requests;
        this.undecoded = undecoded;
        this.unsent = unsent;
        this.connections = connections;
        this.counters = counters;
    }

    /**
     * Creates the resources that follow from the limits of this process.
     * @return the resources, of which nothing is used
     */
    public static ServerResources ofProcess() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        long heapConnections = heapBytes / CONNECTIONS_DIVISOR / CONNECTION_HEAP_BYTES;
        return new ServerResources(
                RequestMemory.ofHeap(),
                ConnectionBytes.of(heapBytes / UNDECODED_DIVISOR),
                ConnectionBytes.of(heapBytes / UNSENT_DIVISOR),
                OpenConnections.of((int) Math.min(readOpenFilesLimit() / OPEN_FILES_DIVISOR, heapConnections)),
                new ServerCounters());
    }

    /**
     * Creates the resources of a server that must stay reachable when callers use up their connections.
     * @param maxConnections connections of that server at most
     * @return these accounts with connections of their own
     */
    public ServerResources withConnections(int maxConnections) {
        return new ServerResources(requests, undecoded, unsent, OpenConnections.of(maxConnections), counters);
    }

    private static int readOpenFilesLimit() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
                if (line.startsWith(OPEN_FILES_LIMIT)) {
                    String soft =
                            line.substring(OPEN_FILES_LIMIT.length()).trim().split(" +", 2)[0];
                    return Integer.parseInt(soft);
                }
            }
        } catch (IOException | NumberFormatException e) {
            return DEFAULT_OPEN_FILES;
        }
        return DEFAULT_OPEN_FILES;
    }

    /**
     * Gets the account of requests.
     * @return memory for header sections and bodies
     */
    public RequestMemory requests() {
        return requests;
    }

    /**
     * Gets the account of bytes that have arrived and are not decoded.
     * @return bytes of all connections
     */
    public ConnectionBytes undecoded() {
        return undecoded;
    }

    /**
     * Gets the account of responses that peers have not read.
     * @return bytes of all connections
     */
    public ConnectionBytes unsent() {
        return unsent;
    }

    /**
     * Gets the open connections.
     * @return connections of all servers
     */
    public OpenConnections connections() {
        return connections;
    }

    /**
     * Gets the counts of refused requests and closed connections.
     * @return counts since the start of all servers, by name
     */
    public Map<String, Long> counts() {
        Map<String, Long> counts = counters.values();
        counts.put("closed_most_undecoded", undecoded.closedCount());
        counts.put("closed_most_unsent", unsent.closedCount());
        return counts;
    }

    /** Gets the counters. */
    ServerCounters counters() {
        return counters;
    }
}
