package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Listening socket that closes in a moment in which no connection is waiting. The operating system resets the connections
 * that a listening socket holds when it is closed, and a socket that is registered with a selector is closed as late as at
 * the next selection. This one is deregistered first, accepts until no connection has arrived for a while, and is closed
 * right after the last attempt. Connections that arrive meanwhile are not read before that: peers that connect again after
 * each response then wait for one.
 */
final class ListeningChannel extends NioServerSocketChannel {
    /** Time without a new connection after which the socket is closed. */
    private static final long QUIET_MS = 100;

    private static final long ACCEPT_INTERVAL_MS = 1;

    private final List<Object> accepted = new ArrayList<>();

    /**
     * Closes the socket; to be called on its event loop.
     * @param maxMillis longest time to wait for a moment without new connections, in milliseconds
     * @param onClosed receives the number of connections that arrived meanwhile
     */
    void closeWhenQuiet(long maxMillis, ClosedListener onClosed) {
        deregister();
        long now = System.nanoTime();
        acceptUntilQuiet(now + TimeUnit.MILLISECONDS.toNanos(maxMillis), now, onClosed);
    }

    /** Receives the number of connections that the socket accepted last. */
    interface ClosedListener {
        void onClosed(int acceptedLast);
    }

    private void acceptUntilQuiet(long deadlineNanos, long lastAcceptedNanos, ClosedListener onClosed) {
        int handedOver = accepted.size();
        acceptAll();
        boolean acceptedAny = accepted.size() > handedOver;
        handOver(handedOver);
        long now = System.nanoTime();
        boolean quiet = !acceptedAny && now - lastAcceptedNanos >= TimeUnit.MILLISECONDS.toNanos(QUIET_MS);
        // A deregistration takes effect at the next selection.
        if ((quiet || now - deadlineNanos >= 0) && !javaChannel().isRegistered()) {
            closeNow(onClosed);
            return;
        }
        long nextLastAcceptedNanos = acceptedAny ? now : lastAcceptedNanos;
        eventLoop()
                .schedule(
                        () -> acceptUntilQuiet(deadlineNanos, nextLastAcceptedNanos, onClosed),
                        ACCEPT_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void closeNow(ClosedListener onClosed) {
        int handedOver = accepted.size();
        acceptAll();
        try {
            javaChannel().close();
        } catch (IOException e) {
            pipeline().fireExceptionCaught(e);
        }
        handOver(handedOver);
        close();
        accepted.forEach(connection -> ((Channel) connection).config().setAutoRead(true));
        onClosed.onClosed(accepted.size());
    }

    private void acceptAll() {
        try {
            int count;
            do {
                count = doReadMessages(accepted);
            } while (count > 0);
        } catch (Exception e) {
            pipeline().fireExceptionCaught(e);
        }
    }

    /** Hands the connections from an index on to the pipeline, which registers them. */
    private void handOver(int fromIndex) {
        for (Object connection : accepted.subList(fromIndex, accepted.size())) {
            ((Channel) connection).config().setAutoRead(false);
            pipeline().fireChannelRead(connection);
        }
    }
}
