package org.siskinlead.protocol.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.HeaderField;
import org.siskinlead.protocol.json.Json;

/** HTTP request and its response. The response may be sent once, from any thread. */
public final class HttpExchange {
    /** What an exchange tells the handlers of its connection. */
    enum ConnectionEvent {
        /** The last response of the connection is sent; what still arrives is not read. */
        LAST_RESPONSE_SENT
    }

    /** {@code Retry-After} in seconds of a request that is refused for lack of memory. */
    private static final String RETRY_AFTER_S = "1";

    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    /** Longest wait, after the last response of a connection, for the peer to close it. */
    private static final long MAX_PEER_CLOSE_WAIT_MS = 1_000;

    private final Channel channel;
    private final Runnable onResponded;
    private final String method;
    private final String uri;
    private final String path;
    private final Map<String, String> headers;
    private final ReceivedRequest received;
    private final List<HeaderField> headerFields = new ArrayList<>();
    private final boolean keepAlive;
    private ClosedListener onClosed = end -> {};
    private @Nullable ConnectionEnd closed;
    private boolean closeAfterResponse;
    private int status;

    HttpExchange(Channel channel, ReceivedRequest received, Runnable onResponded) {
        this.channel = channel;
        this.received = received;
        this.onResponded = onResponded;
        HttpRequest request = received.head();
        this.method = request.method().name();
        this.uri = request.uri();
        this.path = new QueryStringDecoder(uri).path();
        this.headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        request.headers().forEach(h -> {
            headers.put(h.getKey(), h.getValue());
            headerFields.add(new HeaderField(h.getKey(), h.getValue()));
        });
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    // Queries

    /**
     * Gets the request method.
     * @return the method, such as {@code GET}
     */
    public String method() {
        return method;
    }

    /**
     * Gets the request target as received.
     * @return path and query, not decoded
     */
    public String uri() {
        return uri;
    }

    /**
     * Gets the header section.
     * @return header fields in the order received
     */
    public List<HeaderField> headerFields() {
        return headerFields;
    }

    /**
     * Gets the decoded path.
     * @return the path without the query
     */
    public String path() {
        return path;
    }

    /**
     * Gets a query parameter.
     * @param name name of the parameter
     * @param defaultValue value to return if the parameter is absent
     * @return its first value, decoded
     */
    public String query(String name, String defaultValue) {
        // Decoded parameters take many times their bytes, so they are not kept.
        List<String> values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null || values.isEmpty() ? defaultValue : values.get(0);
    }

    /**
     * Gets a header field; the last one if there are several of that name.
     * @param name name of the field, in any case
     * @return its value, or an empty string if absent
     */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /**
     * Gets the body of the request.
     * @return its bytes, without transfer coding
     */
    public byte[] body() {
        return received.body().bytes();
    }

    /**
     * Tells whether the connection is closed.
     * @return true if the response can no longer be sent
     */
    public boolean isClosed() {
        return !channel.isActive();
    }

    /**
     * Tells whether the peer reads so slowly that much of the response waits in the write buffer.
     * @return true from the high-water mark of unsent bytes until the low-water mark
     */
    public boolean isReaderSlow() {
        return !channel.isWritable();
    }

    // Commands

    /** Learns that the connection of an exchange is closed. */
    public interface ClosedListener {
        /**
         * Handles the end of the connection.
         * @param end who closed it, and why
         */
        void onClosed(ConnectionEnd end);
    }

    /**
     * Registers a listener that is called if the connection closes before the response is complete. It is also called
     * after a response that closes the connection.
     * @param listener called on a network thread, or at once on this thread if the connection is closed already
     */
    public void onClosed(ClosedListener listener) {
        ConnectionEnd end;
        synchronized (this) {
            onClosed = listener;
            end = closed;
        }
        if (end != null) {
            listener.onClosed(end);
        }
    }

    /** Closes the connection after the response, which announces it by {@code Connection: close}. */
    public void closeAfterResponse() {
        closeAfterResponse = true;
    }

    /** Closes the connection now; a response that was started stays incomplete. */
    public void abort() {
        ServerResources.close(channel, ConnectionEnd.RESPONSE_ABORTED);
    }

    /**
     * Sends a response with the given header fields, such as those of a target.
     * @param status HTTP status
     * @param fieldsToSend header fields; Content-Length is set
     * @param content body of the response
     */
    public void respond(int status, List<HeaderField> fieldsToSend, byte[] content) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        fieldsToSend.forEach(h -> response.headers().add(h.name(), h.value()));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        setCloseHeader(response);
        finish(channel.writeAndFlush(response));
    }

    /**
     * Starts a chunked response.
     * @param status HTTP status
     * @param fieldsToSend header fields; Transfer-Encoding is set
     */
    public void startStream(int status, List<HeaderField> fieldsToSend) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        fieldsToSend.forEach(h -> response.headers().add(h.name(), h.value()));
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setCloseHeader(response);
        channel.write(response, channel.voidPromise());
    }

    /**
     * Sends a response with a JSON body.
     * @param status HTTP status
     * @param value value to serialize
     * @throws org.siskinlead.protocol.json.ProtocolException if the value cannot be serialized
     */
    public void respond(int status, Object value) {
        respond(status, "application/json", Json.write(value), Map.of());
    }

    /**
     * Sends a response.
     * @param status HTTP status
     * @param contentType media type
     * @param content body of the response
     * @param extraHeaders header fields to set besides, or in place of, Content-Type and Content-Length
     */
    public void respond(int status, String contentType, byte[] content, Map<String, String> extraHeaders) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        setCloseHeader(response);
        finish(channel.writeAndFlush(response));
    }

    /**
     * Starts a chunked response with status 200 that must not be cached.
     * @param contentType media type
     * @param extraHeaders header fields to set besides Content-Type, Transfer-Encoding and Cache-Control
     */
    public void startStream(String contentType, Map<String, String> extraHeaders) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        channel.write(response, channel.voidPromise());
    }

    /**
     * Sends a chunk of a chunked response.
     * @param chunk next bytes of the body
     */
    public void writeChunk(byte[] chunk) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)), channel.voidPromise());
    }

    /** Ends a chunked response. */
    public void endStream() {
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Tells whether the response says that the request itself is at fault, so that it would be refused again. */
    boolean isRefused() {
        return status >= FIRST_CLIENT_ERROR
                && status < FIRST_SERVER_ERROR
                && status != HttpResponseStatus.REQUEST_TIMEOUT.code()
                && status != HttpResponseStatus.MISDIRECTED_REQUEST.code()
                && status != HttpResponseStatus.TOO_MANY_REQUESTS.code();
    }

    /** Refuses the request if its body was not read; returns whether it did. */
    boolean refuseUnread(ServerCounters counters) {
        ReceivedRequest.Refusal refusal = received.refusal();
        if (refusal == ReceivedRequest.Refusal.NONE) {
            return false;
        }
        counters.increment(refusal);
        if (received.head().decoderResult().isFailure()
                || refusal == ReceivedRequest.Refusal.MALFORMED
                || HttpUtil.is100ContinueExpected(received.head())) {
            // What follows may be a request, or the body that was not awaited.
            closeAfterResponse();
        }
        boolean mayReturn = refusal == ReceivedRequest.Refusal.NO_MEMORY;
        respond(
                received.refusalStatus(),
                "text/plain",
                refusal.text().getBytes(StandardCharsets.UTF_8),
                mayReturn ? Map.of("retry-after", RETRY_AFTER_S) : Map.of());
        return true;
    }

    void connectionClosed(ConnectionEnd end) {
        received.body().release();
        ClosedListener listener;
        synchronized (this) {
            closed = end;
            listener = onClosed;
        }
        listener.onClosed(end);
    }

    private void setCloseHeader(HttpResponse response) {
        status = response.status().code();
        if (!keepAlive || closeAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(ChannelFuture writeFuture) {
        if (keepAlive && !closeAfterResponse) {
            writeFuture.addListener(written -> {
                received.body().release();
                if (written.isSuccess()) {
                    onResponded.run();
                } else {
                    ServerResources.close(channel, ConnectionEnd.FAILURE);
                }
            });
        } else {
            writeFuture.addListener(written -> {
                received.body().release();
                closeAfterPeer();
            });
        }
    }

    /**
     * Ends the connection, and closes it when the peer does. If it were closed at once, the operating system would answer
     * bytes that still arrive with a reset, which destroys the part of the response that the peer has not read.
     */
    private void closeAfterPeer() {
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput();
            channel.pipeline().fireUserEventTriggered(ConnectionEvent.LAST_RESPONSE_SENT);
            channel.eventLoop()
                    .schedule(
                            () -> ServerResources.close(channel, ConnectionEnd.LAST_RESPONSE),
                            MAX_PEER_CLOSE_WAIT_MS,
                            TimeUnit.MILLISECONDS);
        } else {
            ServerResources.close(channel, ConnectionEnd.LAST_RESPONSE);
        }
    }
}
