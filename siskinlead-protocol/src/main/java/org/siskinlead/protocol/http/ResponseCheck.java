package org.siskinlead.protocol.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.siskinlead.protocol.http.MalformedResponseException.Defect;

/**
 * Checks the bytes of a response before the codec decodes them, since the codec repairs what it can: it shortens names of
 * fields, and takes any number for a status. Passes on what is sound; the first line that is not ends the exchange with a
 * {@link MalformedResponseException}, and nothing further is passed on.
 */
final class ResponseCheck extends ChannelInboundHandlerAdapter {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final long UNKNOWN = -1;
    private static final byte[] NOTHING = new byte[0];

    private final int maxLineBytes;
    /** The received part of a line whose end has not arrived. */
    private byte[] partial = NOTHING;

    private Expected expected = Expected.STATUS_LINE;
    private int status;
    private boolean chunked;
    /** Length of the body that the head has named. */
    private long bodyLength = UNKNOWN;
    /** What a continued line would continue. */
    private Field lastField = Field.NONE;
    /** Bytes that are left of the body, or of its present chunk. */
    private long bytesLeft;

    private boolean surplus;

    private enum Expected {
        STATUS_LINE,
        FIELD_LINE,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER_LINE,
        /** A body that ends with the connection. */
        BODY_TO_END,
        /** Nothing: the response is complete. What follows belongs to no request. */
        END,
        /** Nothing: the response is malformed. */
        FAILED
    }

    private enum Field {
        NONE,
        ORDINARY,
        FRAMING
    }

    ResponseCheck(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Prepares for another response; returns false if the connection cannot carry one, because bytes followed the last one. */
    boolean expectAnother() {
        boolean possible = expected == Expected.END && !surplus;
        if (possible) {
            expected = Expected.STATUS_LINE;
        }
        return possible;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf received)) {
            context.fireChannelRead(message);
            return;
        }
        byte[] continued = partial;
        int start = received.readerIndex();
        @Nullable MalformedResponseException problem = null;
        try {
            boolean advanced = true;
            while (advanced && received.isReadable()) {
                advanced = readNext(received);
            }
        } catch (MalformedResponseException e) {
            problem = e;
            expected = Expected.FAILED;
        }
        pass(context, continued, received, start);
        if (problem != null) {
            context.fireExceptionCaught(problem);
        }
    }

    /** Passes on what was checked: the bytes up to the reader index, which follow the part of a line received before. */
    private static void pass(ChannelHandlerContext context, byte[] continued, ByteBuf received, int start) {
        int checked = received.readerIndex() - start;
        if (checked == 0) {
            received.release();
            return;
        }
        ByteBuf sound = received.slice(start, checked);
        context.fireChannelRead(
                continued.length == 0 ? sound : Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(continued), sound));
    }

    /** Checks the next line or part of the body and advances the reader index; returns false if nothing more can be checked. */
    private boolean readNext(ByteBuf received) {
        return switch (expected) {
            case END -> {
                surplus = true;
                yield false;
            }
            case FAILED -> false;
            case BODY_TO_END -> {
                received.skipBytes(received.readableBytes());
                yield true;
            }
            case BODY, CHUNK -> {
                int length = (int) Math.min(bytesLeft, received.readableBytes());
                received.skipBytes(length);
                bytesLeft -= length;
                if (bytesLeft == 0) {
                    expected = expected == Expected.BODY ? Expected.END : Expected.CHUNK_END;
                }
                yield true;
            }
            default -> readLine(received);
        };
    }

    private boolean readLine(ByteBuf received) {
        int length = received.bytesBefore((byte) '\n');
        int added = length < 0 ? received.readableBytes() : length;
        byte[] line = Arrays.copyOf(partial, partial.length + added);
        received.getBytes(received.readerIndex(), line, partial.length, added);
        if (line.length > maxLineBytes) {
            throw MalformedResponseException.of(Defect.TOO_LONG, line, line.length);
        }
        if (length < 0) {
            partial = line;
            return false;
        }
        boolean hasCarriageReturn = line.length > 0 && line[line.length - 1] == '\r';
        checkLine(line, hasCarriageReturn ? line.length - 1 : line.length);
        partial = NOTHING;
        received.skipBytes(added + 1);
        return true;
    }

    private void checkLine(byte[] line, int length) {
        switch (expected) {
            case STATUS_LINE -> {
                status = ResponseLines.status(line, length);
                chunked = false;
                bodyLength = UNKNOWN;
                lastField = Field.NONE;
                expected = Expected.FIELD_LINE;
            }
            case FIELD_LINE -> {
                if (length == 0) {
                    onHeadEnd();
                } else {
                    checkField(line, length);
                }
            }
            case CHUNK_SIZE -> {
                bytesLeft = ResponseLines.chunkSize(line, length);
                lastField = Field.NONE;
                expected = bytesLeft == 0 ? Expected.TRAILER_LINE : Expected.CHUNK;
            }
            case CHUNK_END -> {
                if (length != 0) {
                    throw MalformedResponseException.of(Defect.CHUNK, line, length);
                }
                expected = Expected.CHUNK_SIZE;
            }
            case TRAILER_LINE -> {
                if (length == 0) {
                    expected = Expected.END;
                } else {
                    checkField(line, length);
                }
            }
            default -> throw new IllegalStateException("no line is expected but " + expected);
        }
    }

    private void checkField(byte[] line, int length) {
        if (ResponseLines.isContinuation(line, length)) {
            if (lastField != Field.ORDINARY) {
                throw MalformedResponseException.of(Defect.FIELD_NAME, line, length);
            }
            ResponseLines.checkText(line, 0, length, Defect.FIELD_VALUE);
            return;
        }
        int nameLength = ResponseLines.nameLength(line, length);
        boolean isFraming = expected == Expected.FIELD_LINE && ResponseLines.isFraming(line, nameLength);
        lastField = isFraming ? Field.FRAMING : Field.ORDINARY;
        if (isFraming) {
            long named = ResponseLines.bodyLength(line, length, nameLength);
            chunked |= named == ResponseLines.CHUNKED;
            bodyLength = Math.max(bodyLength, named);
        }
    }

    private void onHeadEnd() {
        bytesLeft = bodyLength;
        if (status < FIRST_FINAL_STATUS) {
            expected = Expected.STATUS_LINE;
        } else if (status == NO_CONTENT || status == NOT_MODIFIED || (!chunked && bodyLength == 0)) {
            expected = Expected.END;
        } else if (chunked) {
            expected = Expected.CHUNK_SIZE;
        } else {
            expected = bodyLength == UNKNOWN ? Expected.BODY_TO_END : Expected.BODY;
        }
    }
}
