package org.siskinlead.protocol.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.io.Serial;

/**
 * Header section of a request that is being decoded. Each line is charged to the memory of requests at the cost of its
 * objects, which for short lines is many times their length on the wire; a line too many is refused before it is stored.
 */
final class CountedHeaders extends DefaultHttpHeaders {
    /** Bytes of a header line besides its name and value: colon and line end; a space is optional. */
    static final int FIELD_OVERHEAD_BYTES = 3;

    /**
     * Heap bytes of a header line besides the characters of its name and value: the codec's entry, name and value (about
     * 140), and the fields of {@link HttpExchange} and of the request to the target (about 150).
     */
    static final int LINE_HEAP_BYTES = 320;

    /** Heap bytes of a character: it is held in the codec's and the exchange's copy of the name, or in the value. */
    private static final int CHARACTER_HEAP_BYTES = 2;

    /** Least reservation, so that an ordinary header section needs one or two. */
    private static final int BLOCK_BYTES = 4_096;

    private final RequestMemory.Reservation reservation;
    private final int maxBytes;
    private long bytes;
    private long heapBytes;
    private long reservedBytes;

    private CountedHeaders(RequestMemory.Reservation reservation, int maxBytes) {
        this.reservation = reservation;
        this.maxBytes = maxBytes;
    }

    /**
     * Creates an empty header section.
     * @param reservation what the request has reserved
     * @param maxBytes largest header section in bytes
     */
    static CountedHeaders of(RequestMemory.Reservation reservation, int maxBytes) {
        return new CountedHeaders(reservation, maxBytes);
    }

    RequestMemory.Reservation reservation() {
        return reservation;
    }

    /** Adds a line that was decoded. */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        int characters = name.length() + value.toString().length();
        bytes += characters + FIELD_OVERHEAD_BYTES;
        if (bytes > maxBytes) {
            clear();
            throw new TooLongHttpHeaderException("the header section exceeds " + maxBytes + " bytes");
        }
        heapBytes += LINE_HEAP_BYTES + (long) CHARACTER_HEAP_BYTES * characters;
        if (heapBytes > reservedBytes) {
            long more = Math.max(BLOCK_BYTES, heapBytes - reservedBytes);
            if (!reservation.tryReserve(more, heapBytes)) {
                clear();
                throw new NoMemoryException();
            }
            reservedBytes += more;
        }
        return super.add(name, value);
    }

    /** Reports that other requests use the memory. */
    static final class NoMemoryException extends IllegalStateException {
        @Serial
        private static final long serialVersionUID = 1;

        NoMemoryException() {
            super("other requests use the memory");
        }

        /** Omits the stack trace, which would cost more than the header line. */
        @Override
        public Throwable fillInStackTrace() {
            return this;
        }
    }
}
