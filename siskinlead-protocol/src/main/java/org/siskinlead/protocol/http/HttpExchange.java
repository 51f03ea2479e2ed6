package org.siskinlead.protocol.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.siskinlead.core.forwarding.HeaderField;
import org.siskinlead.protocol.json.Json;

/** One request and its answer. The answer may be given from any thread, once. */
public final class HttpExchange {
    private final Channel channel;
    private final Runnable onResponded;
    private final String method;
    private final String uri;
    private final String path;
    private final Map<String, List<String>> query;
    private final Map<String, String> headers;
    private final byte[] body;
    private final List<HeaderField> headerFields = new ArrayList<>();
    private final boolean keepAlive;
    private Runnable onClosed = () -> {};
    private boolean closed;
    private boolean closeAfterResponse;

    HttpExchange(Channel channel, FullHttpRequest request, Runnable onResponded) {
        this.channel = channel;
        this.onResponded = onResponded;
        this.method = request.method().name();
        this.uri = request.uri();
        QueryStringDecoder decoded = new QueryStringDecoder(request.uri());
        this.path = decoded.path();
        this.query = decoded.parameters();
        this.headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        request.headers().forEach(h -> {
            headers.put(h.getKey(), h.getValue());
            headerFields.add(new HeaderField(h.getKey(), h.getValue()));
        });
        this.body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    // Queries

    /**
     * Gets the method.
     * @return the method in upper case
     */
    public String method() {
        return method;
    }

    /**
     * Gets the request target as it was sent.
     * @return path and query, not decoded
     */
    public String uri() {
        return uri;
    }

    /**
     * Gets the header section.
     * @return header fields in their order
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
     * @param name its name
     * @param defaultValue value to give when it is absent
     * @return its first value
     */
    public String query(String name, String defaultValue) {
        List<String> values = query.get(name);
        return values == null || values.isEmpty() ? defaultValue : values.get(0);
    }

    /**
     * Gets a header.
     * @param name its name
     * @return its value, empty when absent
     */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /**
     * Gets the body.
     * @return the bytes
     */
    public byte[] body() {
        return body;
    }

    /**
     * Tells whether the other side has closed the connection.
     * @return true when nobody reads the answer
     */
    public boolean isClosed() {
        return !channel.isActive();
    }

    /**
     * Tells whether the other side reads so slowly that much of the answer waits to be sent.
     * @return true above the bound on unsent bytes
     */
    public boolean isReaderSlow() {
        return !channel.isWritable();
    }

    // Commands

    /**
     * Registers what runs when the connection closes before the answer is complete. Runs at once when it has closed.
     * @param task what to run, on a network thread
     */
    public void onClosed(Runnable task) {
        synchronized (this) {
            onClosed = task;
            if (!closed) {
                return;
            }
        }
        task.run();
    }

    /** Closes the connection after the answer, and says so in its header section. */
    public void closeAfterResponse() {
        closeAfterResponse = true;
    }

    /** Closes the connection now; an answer that has begun stays incomplete. */
    public void abort() {
        channel.close();
    }

    /**
     * Answers with a status, a header section and a body taken from elsewhere.
     * @param status HTTP status
     * @param fieldsToSend header fields; the length of the body is added
     * @param content the body
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
     * Begins an answer that is sent in parts.
     * @param status HTTP status
     * @param fieldsToSend header fields
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
     * Answers with JSON.
     * @param status HTTP status
     * @param value value to write
     */
    public void respond(int status, Object value) {
        respond(status, "application/json", Json.write(value), Map.of());
    }

    /**
     * Answers with a body.
     * @param status HTTP status
     * @param contentType media type
     * @param content the body
     * @param extraHeaders further headers
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
     * Begins an answer that is sent in parts.
     * @param contentType media type
     * @param extraHeaders further headers
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
     * Sends a part of a streamed answer.
     * @param chunk the bytes
     */
    public void writeChunk(byte[] chunk) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)), channel.voidPromise());
    }

    /** Ends a streamed answer. */
    public void endStream() {
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    void connectionClosed() {
        Runnable task;
        synchronized (this) {
            closed = true;
            task = onClosed;
        }
        task.run();
    }

    private void setCloseHeader(HttpResponse response) {
        if (!keepAlive || closeAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(ChannelFuture writeFuture) {
        if (keepAlive && !closeAfterResponse) {
            onResponded.run();
        } else {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }
}
