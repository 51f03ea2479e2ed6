package org.siskinlead.protocol.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of a connection one at a time. The codec would decode all that has arrived into objects, which cost
 * many times their bytes; here the next request stays undecoded while one is being answered.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    /** Largest header section that is decoded, so that a limit that is raised also holds for open connections. */
    private static final int MAX_HEADER_BYTES = 65_536;

    private final BooleanSupplier isAnswering;
    private final Sections sections;
    private HttpMethod method = HttpMethod.GET;
    private @Nullable ChannelHandlerContext context;
    private boolean discarding;
    private long decodingNanos;

    private RequestDecoder(HttpDecoderConfig config, BooleanSupplier isAnswering, Sections sections) {
        super(config);
        this.isAnswering = isAnswering;
        this.sections = sections;
    }

    /**
     * Creates a decoder for one connection.
     * @param limits supplies the limits in force
     * @param memory memory that header sections are charged to
     * @param isAnswering tells whether a request of the connection has arrived whole and is not yet answered
     */
    static RequestDecoder of(Supplier<HttpLimits> limits, RequestMemory memory, BooleanSupplier isAnswering) {
        Sections sections = new Sections(limits, memory);
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(Math.max(MAX_HEADER_BYTES, limits.get().maxHeaderBytes()))
                .setHeadersFactory(sections)
                .setTrailersFactory(DiscardedTrailers.FACTORY);
        return new RequestDecoder(config, isAnswering, sections);
    }

    // Queries

    /** Gets the method of the request that was decoded last. */
    HttpMethod method() {
        return method;
    }

    /** Tells whether the next request stays undecoded because one is being answered. */
    boolean isPaused() {
        return !discarding && isAnswering.getAsBoolean();
    }

    /** Gets the bytes that have arrived and are not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    // Commands

    /** Gets the time that decoding has taken since the last call, in nanoseconds. */
    long takeDecodingNanos() {
        long nanos = decodingNanos;
        decodingNanos = 0;
        return nanos;
    }

    /** Decodes what has been held back. */
    void resume() {
        ChannelHandlerContext added = context;
        if (added == null || actualReadableBytes() == 0) {
            return;
        }
        try {
            channelRead(added, Unpooled.EMPTY_BUFFER);
        } catch (Exception e) {
            added.fireExceptionCaught(e);
        }
    }

    /** Discards what has arrived and arrives from now on, after the last response of the connection. */
    void discardAll() {
        discarding = true;
        resume();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void decode(ChannelHandlerContext decodeContext, ByteBuf in, List<Object> out) throws Exception {
        if (discarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (isPaused()) {
            return;
        }
        long startedAtNanos = System.nanoTime();
        super.decode(decodeContext, in, out);
        decodingNanos += System.nanoTime() - startedAtNanos;
        for (Object part : out) {
            if (part instanceof HttpRequest request) {
                method = request.method();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactiveContext) throws Exception {
        discarding = true;
        super.channelInactive(inactiveContext);
        sections.releaseLatest();
    }

    /** Creates the header sections of one connection. */
    private static final class Sections implements HttpHeadersFactory {
        private final Supplier<HttpLimits> limits;
        private final RequestMemory memory;
        private RequestMemory.@Nullable Reservation latest;

        Sections(Supplier<HttpLimits> limits, RequestMemory memory) {
            this.limits = limits;
            this.memory = memory;
        }

        @Override
        public HttpHeaders newHeaders() {
            RequestMemory.Reservation reservation = memory.newReservation();
            latest = reservation;
            return CountedHeaders.of(reservation, limits.get().maxHeaderBytes());
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }

        /** Returns the memory of a request whose header section was not complete. */
        void releaseLatest() {
            if (latest != null) {
                latest.releaseAll();
            }
        }
    }
}
