package org.siskinlead.protocol.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.jspecify.annotations.Nullable;

/**
 * A request with its whole body, or one whose body is not read because it has to be refused.
 * @param head request line and header section
 * @param body the body, empty for a refused request
 * @param refusal why it has to be refused
 */
@SuppressWarnings("ArrayRecordComponent")
record ReceivedRequest(HttpRequest head, Body body, Refusal refusal) {
    /** Why a request is refused before its body is read. */
    enum Refusal {
        NONE(""),
        /** The request is not valid HTTP, or its first line is too long. */
        MALFORMED("malformed HTTP request"),
        HEADER_TOO_LARGE("the header section is too large"),
        BODY_TOO_LARGE("the body is too large"),
        /** Other requests use the memory. */
        NO_MEMORY("other requests use the memory");

        private final String text;

        Refusal(String text) {
            this.text = text;
        }

        /** Gets why a request cannot be decoded. */
        static Refusal of(Throwable cause) {
            if (cause instanceof CountedHeaders.NoMemoryException) {
                return NO_MEMORY;
            }
            return cause instanceof TooLongHttpHeaderException ? HEADER_TOO_LARGE : MALFORMED;
        }

        String text() {
            return text;
        }
    }

    /** Gets the HTTP status of the refusal, 0 for a request that is not refused. */
    int refusalStatus() {
        return switch (refusal) {
            case NONE -> 0;
            case MALFORMED -> malformedStatus(head.decoderResult().cause()).code();
            case HEADER_TOO_LARGE -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code();
            case BODY_TOO_LARGE -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code();
            case NO_MEMORY -> HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        };
    }

    private static HttpResponseStatus malformedStatus(@Nullable Throwable cause) {
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Bytes of a body, which stay reserved in {@link RequestMemory}, as the header section does, until they are released. */
    static final class Body {
        private final RequestMemory.Reservation reservation;
        private final byte[] bytes;

        Body(RequestMemory.Reservation reservation, byte[] bytes) {
            this.reservation = reservation;
            this.bytes = bytes;
        }

        byte[] bytes() {
            return bytes;
        }

        /** Returns the memory of the request; later calls have no effect. */
        void release() {
            reservation.releaseAll();
        }
    }
}
