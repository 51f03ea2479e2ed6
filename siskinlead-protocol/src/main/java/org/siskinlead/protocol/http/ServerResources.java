package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/** What the servers of a process share: memory, and the counts of what they refused and closed. */
public final class ServerResources {
    private static final AttributeKey<ConnectionEnd> END = AttributeKey.valueOf(ServerResources.class, "end");

    /** Part of the heap that may be held, in buffers outside of it, as bytes that have arrived and are not decoded. */
    private static final int UNDECODED_DIVISOR = 8;

    private final RequestMemory requests;
    private final ConnectionBytes undecoded;
    private final ServerCounters counters;

    private ServerResources(RequestMemory requests, long undecodedBytes, ServerCounters counters) {
        this.requests = requests;
        this.undecoded =
                ConnectionBytes.of(undecodedBytes, connection -> close(connection, ConnectionEnd.UNDECODED_BYTES));
        this.counters = counters;
    }

    /**
     * Creates the resources that follow from the limits of this process.
     * @return the resources, of which nothing is used
     */
    public static ServerResources ofProcess() {
        return of(RequestMemory.ofHeap(), Runtime.getRuntime().maxMemory() / UNDECODED_DIVISOR);
    }

    static ServerResources of(RequestMemory requests, long undecodedBytes) {
        return new ServerResources(requests, undecodedBytes, ServerCounters.create());
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

    /** Gets the account of bytes that have arrived and are not decoded. */
    ConnectionBytes undecoded() {
        return undecoded;
    }

    /** Gets why a connection was closed; {@link ConnectionEnd#PEER} unless the server closed it. */
    static ConnectionEnd endOf(Channel connection) {
        ConnectionEnd end = connection.hasAttr(END) ? connection.attr(END).get() : null;
        return end == null ? ConnectionEnd.PEER : end;
    }

    // Commands

    /** Closes a connection. The first reason given for it stays. */
    static void close(Channel connection, ConnectionEnd end) {
        connection.attr(END).compareAndSet(null, end);
        connection.close();
    }
}
