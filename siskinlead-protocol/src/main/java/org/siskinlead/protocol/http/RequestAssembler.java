package org.siskinlead.protocol.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Arrays;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.protocol.http.ReceivedRequest.Body;
import org.siskinlead.protocol.http.ReceivedRequest.Refusal;

/**
 * Assembles requests from their parts. Bytes are copied to the heap as they arrive, so that bodies that arrive slowly hold
 * no network buffers. A request that cannot be taken is passed on at once as refused, and the rest of its body is
 * skipped.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
    /** Copies of the request target that are held until the response: as received, its path, and as it is forwarded. */
    private static final int TARGET_COPIES = 3;
    /** Bytes of request targets that are not counted, since they are few beside the least reservation for a header section. */
    private static final int SHORT_TARGET_BYTES = 1_024;

    /** First reservation for a body of unknown length; it doubles from then on. */
    private static final int INITIAL_BYTES = 1_024;

    /** Bytes of a refused body that are read so that the next request of the connection can be found. */
    private static final long MAX_SKIPPED_BYTES = 16_777_216;

    private final Supplier<HttpLimits> limits;
    private final RequestMemory memory;
    private @Nullable HttpRequest head;
    private RequestMemory.Reservation reservation;
    private byte[] bytes = {};
    private int length;
    private int maxBodyBytes;
    /** Bytes reserved for the body. */
    private long reservedBytes;

    private long skippedBytes;

    RequestAssembler(Supplier<HttpLimits> limits, RequestMemory memory) {
        this.limits = limits;
        this.memory = memory;
        this.reservation = memory.newReservation();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpRequest request) {
            onHead(context, request);
        }
        if (message instanceof HttpContent content) {
            onContent(context, content);
        }
    }

    private void onHead(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        reservation =
                request.headers() instanceof CountedHeaders counted ? counted.reservation() : memory.newReservation();
        length = 0;
        bytes = new byte[0];
        reservedBytes = 0;
        skippedBytes = 0;
        HttpLimits current = limits.get();
        maxBodyBytes = current.maxBodyBytes();
        if (request.decoderResult().isFailure()) {
            refuse(context, Refusal.of(request.decoderResult().cause()));
            return;
        }
        long targetBytes = (long) TARGET_COPIES * request.uri().length();
        if (targetBytes > SHORT_TARGET_BYTES && !reservation.tryReserve(targetBytes, targetBytes)) {
            refuse(context, Refusal.NO_MEMORY);
            return;
        }
        long declaredLength = HttpUtil.getContentLength(request, -1L);
        if (declaredLength > maxBodyBytes) {
            refuse(context, Refusal.BODY_TOO_LARGE);
        } else if (declaredLength > 0 && !tryReserve(declaredLength, declaredLength)) {
            refuse(context, Refusal.NO_MEMORY);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            request.headers().remove(HttpHeaderNames.EXPECT);
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        if (head != null && content.decoderResult().isFailure()) {
            refuse(context, Refusal.MALFORMED);
        }
        if (head != null) {
            append(context, content.content());
        } else {
            skip(context, content.content());
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        HttpRequest complete = head;
        if (complete != null) {
            head = null;
            byte[] body = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
            bytes = new byte[0];
            reservation.release(reservedBytes - length);
            reservedBytes = 0;
            context.fireChannelRead(new ReceivedRequest(complete, new Body(reservation, body), Refusal.NONE));
        }
    }

    private void append(ChannelHandlerContext context, ByteBuf part) {
        int added = part.readableBytes();
        if (added > maxBodyBytes - length) {
            refuse(context, Refusal.BODY_TOO_LARGE);
            return;
        }
        int needed = length + added;
        if (needed > reservedBytes
                && !tryReserve(Math.max(needed - reservedBytes, Math.max(INITIAL_BYTES, length)), needed)) {
            refuse(context, Refusal.NO_MEMORY);
            return;
        }
        if (needed > bytes.length) {
            int grown = Math.max(INITIAL_BYTES, Math.max(needed, 2 * bytes.length));
            bytes = Arrays.copyOf(bytes, (int) Math.min(grown, reservedBytes));
        }
        part.readBytes(bytes, length, added);
        length = needed;
    }

    /** Skips a part of a refused body. A connection on which that never ends is closed. */
    private void skip(ChannelHandlerContext context, ByteBuf part) {
        skippedBytes += part.readableBytes();
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            ServerResources.close(context.channel(), ConnectionEnd.SKIPPED_BODY);
        }
    }

    private boolean tryReserve(long count, long bodyBytes) {
        if (!reservation.tryReserve(count, bodyBytes)) {
            return false;
        }
        reservedBytes += count;
        return true;
    }

    private void refuse(ChannelHandlerContext context, Refusal refusal) {
        HttpRequest refused = head;
        if (refused == null) {
            return;
        }
        head = null;
        releaseAll();
        context.fireChannelRead(new ReceivedRequest(refused, new Body(reservation, new byte[0]), refusal));
    }

    private void releaseAll() {
        reservation.release(reservedBytes);
        reservedBytes = 0;
        bytes = new byte[0];
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        head = null;
        releaseAll();
        context.fireChannelInactive();
    }
}
