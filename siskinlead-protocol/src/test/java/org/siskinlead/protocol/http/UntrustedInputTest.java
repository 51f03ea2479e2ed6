package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.siskinlead.protocol.http.ReceivedRequest.Refusal;

/** Tests what a server holds for connections whose input costs much more than its bytes. */
class UntrustedInputTest {
    private static final HttpLimits LIMITS = new HttpLimits(400_000, 16_384, 30);
    private static final int LINES = 4_000;
    private static final String HEAD = "GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(LINES) + "\r\n";

    private final RequestMemory memory = RequestMemory.of(3_000_000);
    private boolean answering;

    // Guards against pipelined requests that are all decoded into objects before the first is answered.
    @Test
    void decodesOneRequestAtATime() {
        RequestDecoder decoder = decoder();
        EmbeddedChannel connection = connect(decoder);
        answering = true;
        send(connection, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");

        assertThat((Object) connection.readInbound()).isNull();

        answering = false;
        decoder.resume();

        assertThat(connection.<ReceivedRequest>readInbound().head().uri()).isEqualTo("/1");
    }

    // Guards against counting short header lines by their bytes, which are a fraction of the cost of their objects.
    @Test
    void chargesHeaderLinesAtTheCostOfTheirObjects() {
        EmbeddedChannel connection = connect(decoder());
        send(connection, HEAD);
        ReceivedRequest request = connection.readInbound();

        assertThat(request.refusal()).isEqualTo(Refusal.NONE);
        assertThat(memory.usedBytes()).isAtLeast((long) LINES * CountedHeaders.LINE_HEAP_BYTES);

        request.body().release();

        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    // Guards against long request targets, of which several copies are held, that nothing counts.
    @Test
    void chargesLongRequestTargets() {
        EmbeddedChannel connection = connect(decoder());
        send(connection, "GET /" + "x".repeat(8_000) + " HTTP/1.1\r\n\r\n");
        ReceivedRequest request = connection.readInbound();

        assertThat(memory.usedBytes()).isAtLeast(3 * 8_000L);

        request.body().release();

        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    // Guards against header sections that use up the memory together, each within its limit.
    @Test
    void refusesAHeaderSectionThatDoesNotFitBesideOthersAsNotRun() {
        EmbeddedChannel first = connect(decoder());
        send(first, HEAD);
        EmbeddedChannel second = connect(decoder());
        send(second, HEAD);
        ReceivedRequest refused = second.readInbound();

        assertThat(refused.refusal()).isEqualTo(Refusal.NO_MEMORY);
        assertThat(refused.refusalStatus()).isEqualTo(503);
        assertThat(refused.head().headers().isEmpty()).isTrue();
    }

    // Guards against memory that stays reserved for a connection that has ended.
    @Test
    void returnsTheMemoryOfAHeaderSectionThatBreaksOff() {
        EmbeddedChannel connection = connect(decoder());
        send(connection, HEAD.substring(0, 5_000));

        assertThat(memory.usedBytes()).isGreaterThan(0L);

        connection.close();
        connection.<ReceivedRequest>readInbound().body().release();

        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    // Guards against undecoded bytes of many connections that use up the memory together.
    @Test
    void closesTheConnectionThatHoldsMostWhenAllHoldTooMuch() {
        ConnectionBytes bytes = ConnectionBytes.of(100, Channel::close);
        EmbeddedChannel small = new EmbeddedChannel();
        EmbeddedChannel large = new EmbeddedChannel();
        bytes.set(large, 90);
        bytes.set(small, 20);
        large.runPendingTasks();

        assertThat(large.isOpen()).isFalse();
        assertThat(small.isOpen()).isTrue();
        assertThat(bytes.totalBytes()).isEqualTo(20);
    }

    // Guards against storing a header section up to the limit of the codec before it is refused.
    @Test
    void refusesAHeaderSectionAtItsLimit() {
        EmbeddedChannel connection = connect(decoder());
        send(connection, "GET /x HTTP/1.1\r\n" + "a:b\r\n".repeat(LINES));
        ReceivedRequest refused = connection.readInbound();

        assertThat(refused.refusalStatus()).isEqualTo(431);
        assertThat(refused.head().headers().isEmpty()).isTrue();
    }

    // Guards against trailers that are stored although nothing reads them.
    @Test
    void storesNoTrailers() {
        EmbeddedChannel connection = connect(decoder());
        send(connection, "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:b\r\n".repeat(LINES));
        long before = memory.usedBytes();
        send(connection, "\r\n");

        assertThat(connection.<ReceivedRequest>readInbound().refusal()).isEqualTo(Refusal.NONE);
        assertThat(before).isLessThan(10_000L);
    }

    // Guards against one connection whose input takes long to decode and keeps all others waiting.
    @Test
    void readsLittleAtOnceOfInputThatTakesLongToDecode() {
        EmbeddedChannel connection = new EmbeddedChannel();
        connection.config().setRecvByteBufAllocator(FairReads.create());
        RecvByteBufAllocator.Handle reads = connection.unsafe().recvBufAllocHandle();
        for (int i = 0; i < 8; i++) {
            reads.lastBytesRead(reads.guess());
            FairReads.onDecoded(connection, FairReads.MAX_TURN_NANOS);
        }
        int cheap = reads.guess();
        for (int i = 0; i < 20; i++) {
            reads.lastBytesRead(reads.guess());
            FairReads.onDecoded(connection, FairReads.MAX_TURN_NANOS + 1);
        }

        assertThat(cheap).isEqualTo(FairReads.MAX_READ_BYTES);
        assertThat(reads.guess()).isEqualTo(FairReads.MIN_READ_BYTES);

        reads.lastBytesRead(reads.guess());
        FairReads.onDecoded(connection, 1);

        assertThat(reads.guess()).isGreaterThan(FairReads.MIN_READ_BYTES);
    }

    // Guards against a timeout that starts when a connection has ended, and that keeps all of the connection until it
    // fires.
    @Test
    void leavesNoTimeoutBehindWhenAConnectionEndsWithinAHeaderSection() {
        ConnectionTimeouts timeouts =
                new ConnectionTimeouts(() -> LIMITS, new ConnectionCounts(), ServerResources.ofHeap());
        RequestDecoder decoder = decoder();
        EmbeddedChannel connection = new EmbeddedChannel(
                timeouts.beforeCodec(),
                decoder,
                timeouts.afterCodec(decoder),
                new RequestAssembler(() -> LIMITS, memory));
        send(connection, "GET /x HTTP/1.1\r\nHost: h\r\n");
        // Closing an embedded channel would cancel its timers.
        connection.pipeline().fireChannelInactive();

        assertThat(connection.runScheduledPendingTasks()).isEqualTo(-1);
    }

    private RequestDecoder decoder() {
        return RequestDecoder.of(() -> LIMITS, memory, () -> answering);
    }

    private EmbeddedChannel connect(RequestDecoder decoder) {
        return new EmbeddedChannel(decoder, new RequestAssembler(() -> LIMITS, memory));
    }

    private static void send(EmbeddedChannel connection, String text) {
        connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
