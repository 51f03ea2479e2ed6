package org.siskinlead.protocol.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes a request with its body in pieces, each when the one before has left the write buffer. A body that was written at
 * once would be copied to network buffers as a whole.
 */
final class RequestWriter {
    private static final int PIECE_BYTES = 32_768;

    private final HttpRequest head;
    private final byte[] body;
    private final ChannelFutureListener onWritten;
    private int writtenBytes = -1;

    /**
     * Creates a writer that has written nothing.
     * @param head request line and header section
     * @param body the body, whose length the header section has
     * @param onWritten runs after each write
     */
    RequestWriter(HttpRequest head, byte[] body, ChannelFutureListener onWritten) {
        this.head = head;
        this.body = body;
        this.onWritten = onWritten;
    }

    /** Writes as much as the write buffer takes now; to be called again when the channel becomes writable. */
    void write(Channel channel) {
        if (writtenBytes < 0) {
            writtenBytes = 0;
            channel.write(head).addListener(onWritten);
            if (body.length == 0) {
                channel.write(LastHttpContent.EMPTY_LAST_CONTENT).addListener(onWritten);
            }
        }
        while (writtenBytes < body.length && channel.isWritable()) {
            int count = Math.min(PIECE_BYTES, body.length - writtenBytes);
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(body, writtenBytes, count)))
                    .addListener(onWritten);
            writtenBytes += count;
            if (writtenBytes == body.length) {
                channel.write(LastHttpContent.EMPTY_LAST_CONTENT).addListener(onWritten);
            }
            channel.flush();
        }
        channel.flush();
    }
}
