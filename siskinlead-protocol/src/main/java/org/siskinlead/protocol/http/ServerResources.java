package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/** What the servers of a process share: memory, and the counts of what they refused and closed. */
public final class ServerResources {
    private static final AttributeKey<ConnectionEnd> END = AttributeKey.valueOf(ServerResources.class, "end");

    /** Part of the heap that may be held, in buffers outside of it, as bytes that have arrived and are not decoded. */
    private static final int UNDECODED_DIVISOR = 8;
    /** Part of the heap that may be held as responses that peers have not read. */
    private static final int UNSENT_DIVISOR = 6;
    /** Part of the heap that open connections may use, apart from their requests and responses. */
    private static final int CONNECTIONS_DIVISOR = 4;
    /** Heap bytes of a connection with its handlers, timer and place in {@link OpenConnections}. */
    private static final int CONNECTION_HEAP_BYTES = 4_096;
    /** Part of the sockets that stay free for the store, listeners, state reports and sockets that are being closed. */
    private static final int OWN_SOCKETS_DIVISOR = 8;

    private static final int MIN_OWN_SOCKETS = 16;
    private static final int MIN_CALLER_SOCKETS = 16;
    /** Sockets of connections for readiness and metrics. */
    private static final int OPERATOR_SOCKETS = 32;
    /** Part of the heap that requests for readiness and metrics may use. */
    private static final int OPERATOR_REQUESTS_DIVISOR = 48;

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
     * Creates the resources of a process whose sockets are not limited; its heap limits all else.
     * @return the resources, of which nothing is used
     */
    public static ServerResources ofHeap() {
        return ofSockets(Integer.MAX_VALUE);
    }

    /**
     * Creates the resources of a process.
     * @param sockets sockets that the process may have open, of which callers use a part
     * @return the resources, of which nothing is used
     */
    public static ServerResources ofSockets(int sockets) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        int callerSockets =
                Math.max(MIN_CALLER_SOCKETS, sockets - Math.max(MIN_OWN_SOCKETS, sockets / OWN_SOCKETS_DIVISOR));
        long heapSockets = heapBytes / CONNECTIONS_DIVISOR / CONNECTION_HEAP_BYTES;
        return of(
                RequestMemory.ofHeap(),
                heapBytes / UNDECODED_DIVISOR,
                heapBytes / UNSENT_DIVISOR,
                OpenConnections.of((int) Math.min(callerSockets, heapSockets)));
    }

    static ServerResources of(
            RequestMemory requests, long undecodedBytes, long unsentBytes, OpenConnections connections) {
        return new ServerResources(
                requests,
                ConnectionBytes.of(undecodedBytes, connection -> close(connection, ConnectionEnd.UNDECODED_BYTES)),
                ConnectionBytes.of(unsentBytes, connection -> close(connection, ConnectionEnd.UNSENT_BYTES)),
                connections,
                ServerCounters.create());
    }

    /**
     * Creates the resources of a server that must answer while callers use up theirs, such as the one for readiness.
     * @return memory and connections apart from these, with the same counters
     */
    public ServerResources forOperators() {
        RequestMemory memory = RequestMemory.of(Runtime.getRuntime().maxMemory() / OPERATOR_REQUESTS_DIVISOR);
        return new ServerResources(memory, undecoded, unsent, OpenConnections.of(OPERATOR_SOCKETS), counters);
    }

    // Queries

    /**
     * Gets the account of requests.
     * @return memory for header sections and bodies
     */
    public RequestMemory requests() {
        return requests;
    }

    /**
     * Gets the counts of refused requests and ended connections.
     * @return counts of all servers that share these resources
     */
    public ServerCounters counters() {
        return counters;
    }

    /**
     * Gets the open connections.
     * @return connections of all servers that share these resources
     */
    public OpenConnections connections() {
        return connections;
    }

    /** Gets the account of bytes that have arrived and are not decoded. */
    ConnectionBytes undecoded() {
        return undecoded;
    }

    /** Gets the account of responses that peers have not read. */
    ConnectionBytes unsent() {
        return unsent;
    }

    /** Gets why a connection was closed; {@link ConnectionEnd#PEER} unless the server closed it. */
    static ConnectionEnd endOf(Channel connection) {
        ConnectionEnd end = connection.hasAttr(END) ? connection.attr(END).get() : null;
        return end == null ? ConnectionEnd.PEER : end;
    }

    /** Tells whether the server has decided to close a connection. */
    static boolean isEnding(Channel connection) {
        return endOf(connection) != ConnectionEnd.PEER;
    }

    // Commands

    /** Closes a connection. The first reason given for it stays. */
    static void close(Channel connection, ConnectionEnd end) {
        connection.attr(END).compareAndSet(null, end);
        connection.close();
    }
}
