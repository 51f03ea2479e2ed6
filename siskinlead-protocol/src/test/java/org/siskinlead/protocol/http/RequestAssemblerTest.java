package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.siskinlead.protocol.http.ReceivedRequest.Refusal;

class RequestAssemblerTest {
    private static final int MAX_BODY_BYTES = 400_000;
    private static final int MEMORY_BYTES = 1_000_000;

    private final RequestMemory memory = RequestMemory.of(MEMORY_BYTES);
    private HttpLimits limits = new HttpLimits(MAX_BODY_BYTES, 2_000, 30);

    @Test
    void holdsTheMemoryOfABodyUntilItIsReleased() {
        EmbeddedChannel connection = connect();
        send(connection, post(5) + "01234");
        ReceivedRequest request = connection.readInbound();

        assertThat(new String(request.body().bytes(), StandardCharsets.US_ASCII))
                .isEqualTo("01234");
        assertThat(memory.usedBytes()).isEqualTo(5);

        request.body().release();
        request.body().release();

        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    // Guards against a process that ends out of memory because of many long requests, each within its limits.
    @Test
    void refusesABodyThatDoesNotFitBesideTheOthersBeforeItArrives() {
        ReceivedRequest first = receiveLong();
        receiveLong();
        EmbeddedChannel connection = connect();
        send(connection, post(MAX_BODY_BYTES));
        ReceivedRequest refused = connection.readInbound();

        assertThat(refused.refusal()).isEqualTo(Refusal.NO_MEMORY);
        assertThat(memory.usedBytes()).isAtMost(MEMORY_BYTES);

        send(connection, "x".repeat(MAX_BODY_BYTES) + post(3) + "abc");
        first.body().release();
        ReceivedRequest next = connection.readInbound();

        assertThat(next.refusal()).isEqualTo(Refusal.NONE);
        assertThat(next.body().bytes()).hasLength(3);
    }

    // Guards against long bodies that leave no memory to the short requests of others.
    @Test
    void takesShortBodiesWhileLongOnesUseTheirPartOfTheMemory() {
        receiveLong();
        EmbeddedChannel large = connect();
        send(large, post(MAX_BODY_BYTES));
        assertThat(memory.usedBytes()).isGreaterThan(MEMORY_BYTES / 2);
        EmbeddedChannel refused = connect();
        send(refused, post(MAX_BODY_BYTES));
        EmbeddedChannel connection = connect();
        send(connection, post(800) + "y".repeat(800));

        assertThat(((ReceivedRequest) refused.readInbound()).refusal()).isEqualTo(Refusal.NO_MEMORY);
        assertThat(((ReceivedRequest) connection.readInbound()).refusal()).isEqualTo(Refusal.NONE);
    }

    // Guards against chunked bodies, whose length nobody declares, that use more memory than there is.
    @Test
    void countsChunkedBodiesAsTheyArrive() {
        for (int i = 0; i < 10; i++) {
            EmbeddedChannel connection = connect();
            send(connection, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int part = 0; part < 20; part++) {
                send(connection, "2710\r\n" + "z".repeat(10_000) + "\r\n");
            }
            assertThat(memory.usedBytes()).isAtMost(MEMORY_BYTES);
        }
        assertThat(memory.refusedCount()).isGreaterThan(0L);
    }

    @Test
    void returnsTheMemoryOfABodyThatBreaksOff() {
        EmbeddedChannel connection = connect();
        send(connection, post(1_000) + "only this");
        connection.close();

        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    // Guards against limits that stay those of the time at which a kept connection was opened.
    @Test
    void appliesTheLimitsInForceToEachRequestOfAConnection() {
        EmbeddedChannel connection = connect();
        send(connection, post(10) + "0123456789");
        limits = new HttpLimits(5, 2_000, 30);
        send(connection, post(10) + "0123456789");

        assertThat(((ReceivedRequest) connection.readInbound()).refusal()).isEqualTo(Refusal.NONE);
        assertThat(((ReceivedRequest) connection.readInbound()).refusal()).isEqualTo(Refusal.BODY_TOO_LARGE);
    }

    // Guards against refusing a header section whose bytes, without the spaces that are optional, are within the limit.
    @Test
    void takesAHeaderSectionOfShortLinesWithinItsLimit() {
        EmbeddedChannel connection = connect();
        send(connection, "GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(500) + "\r\n");

        assertThat(((ReceivedRequest) connection.readInbound()).refusal()).isEqualTo(Refusal.NONE);
    }

    private ReceivedRequest receiveLong() {
        EmbeddedChannel connection = connect();
        send(connection, post(MAX_BODY_BYTES - 50_000) + "x".repeat(MAX_BODY_BYTES - 50_000));
        ReceivedRequest received = connection.readInbound();
        assertThat(received.refusal()).isEqualTo(Refusal.NONE);
        return received;
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(new HttpServerCodec(), new RequestAssembler(() -> limits, memory));
    }

    private static String post(int length) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static void send(EmbeddedChannel connection, String text) {
        connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
