package org.siskinlead.protocol.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory for the header sections and bodies of all requests that a process holds, from the first byte until the response
 * has ended. What does not fit is refused before it is stored, so that no mix of requests within their limits ends the
 * process.
 */
public final class RequestMemory {
    /** Largest body or header section that may use all of the memory. Longer ones leave a part of it to short requests. */
    static final int SHORT_BODY_BYTES = 16_384;

    /** Part of the heap that requests may use; the rest is for connections, answers and the state of the process. */
    private static final double HEAP_FRACTION = 1.0 / 3;
    /** Part of the memory that bodies above {@link #SHORT_BODY_BYTES} may use. */
    private static final double LONG_BODIES_FRACTION = 0.75;

    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();
    private final AtomicLong refusedCount = new AtomicLong();

    private RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Creates an account with a given bound.
     * @param maxBytes bytes of all requests together
     * @return the account, of which nothing is used
     */
    public static RequestMemory of(long maxBytes) {
        return new RequestMemory(maxBytes);
    }

    /**
     * Creates an account whose bound follows from the largest heap of this process.
     * @return the account, of which nothing is used
     */
    public static RequestMemory ofHeap() {
        return new RequestMemory(Math.round(HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    }

    // Queries

    /**
     * Gets the bound.
     * @return bytes of all requests together
     */
    public long maxBytes() {
        return maxBytes;
    }

    /**
     * Gets what is reserved.
     * @return bytes, of requests that are arriving and of those that are not answered
     */
    public long usedBytes() {
        return usedBytes.get();
    }

    /**
     * Counts the requests that were refused because they did not fit.
     * @return requests since the start
     */
    public long refusedCount() {
        return refusedCount.get();
    }

    // Commands

    /**
     * Reserves memory for a part of a body. Nothing is reserved if it does not fit.
     * @param bytes bytes to reserve
     * @param bodyBytes length of the body as far as known, which decides how much of the memory it may use
     * @return whether the bytes are reserved
     */
    boolean tryReserve(long bytes, long bodyBytes) {
        long bound = bodyBytes <= SHORT_BODY_BYTES ? maxBytes : Math.round(LONG_BODIES_FRACTION * maxBytes);
        while (true) {
            long used = usedBytes.get();
            if (used + bytes > bound) {
                refusedCount.incrementAndGet();
                return false;
            }
            if (usedBytes.compareAndSet(used, used + bytes)) {
                return true;
            }
        }
    }

    void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    Reservation newReservation() {
        return new Reservation();
    }

    /** What one request has reserved. */
    final class Reservation {
        private long reservedBytes;
        private boolean released;

        /**
         * Reserves more. Nothing is reserved if it does not fit, or if all was released.
         * @param bytes bytes to reserve
         * @param partBytes length of the part that is arriving, which decides how much of the memory it may use
         * @return whether the bytes are reserved
         */
        synchronized boolean tryReserve(long bytes, long partBytes) {
            if (released || !RequestMemory.this.tryReserve(bytes, partBytes)) {
                return false;
            }
            reservedBytes += bytes;
            return true;
        }

        /** Returns a part of what is reserved; has no effect after all was released. */
        synchronized void release(long bytes) {
            if (!released) {
                reservedBytes -= bytes;
                RequestMemory.this.release(bytes);
            }
        }

        /** Returns all that is reserved, for good; later calls have no effect. */
        synchronized void releaseAll() {
            release(reservedBytes);
            released = true;
        }
    }
}
