package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.siskinlead.protocol.http.ReceivedRequest.Refusal;

/**
 * Sends random header sections, chunks and trailers, in random pieces. Guards against input that throws, that leaks
 * memory of the account, or that exceeds it.
 */
class InputFuzzTest {
    private static final int SEEDS = 3_000;
    private static final int MEMORY_BYTES = 200_000;
    private static final HttpLimits LIMITS = new HttpLimits(2_000, 1_000, 30);
    private static final String[] HEADERS = {
        "Host: h\r\n",
        "a:b\r\n",
        "a:\r\n",
        ":\r\n",
        "no colon\r\n",
        " folded\r\n",
        "\tfolded\n",
        "\u0001x: \u0000\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 99999\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Expect: 100-continue\r\n",
        "Connection: close\r\n",
        "X: " + "y".repeat(300) + "\r\n",
        "a:\r\n".repeat(300)
    };
    private static final String[] CHUNKS = {
        "1\r\nx\r\n",
        "5\r\nabcde\r\n",
        "0005;e=1\r\nabcde\r\n",
        "1;" + "e".repeat(200) + "\r\nx\r\n",
        "-1\r\n",
        "zz\r\n",
        "ffffffff\r\n",
        "7d0\r\n" + "y".repeat(2_000) + "\r\n",
        "\r\n",
        "1\nx\n"
    };
    private static final String[] TRAILERS = {"a:b\r\n", " folded\r\n", "no colon\r\n", "Content-Length: 3\r\n"};

    private final RequestMemory memory = RequestMemory.of(MEMORY_BYTES);

    @Test
    void staysWithinItsMemoryAndReturnsIt() {
        int served = 0;
        int refused = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RequestDecoder decoder = RequestDecoder.of(() -> LIMITS, memory, () -> false);
            EmbeddedChannel connection = new EmbeddedChannel(decoder, new RequestAssembler(() -> LIMITS, memory));
            send(connection, randomRequests(random), random);
            assertWithMessage("seed %s", seed).that(memory.usedBytes()).isAtMost(MEMORY_BYTES);
            connection.finish();
            for (ReceivedRequest next = connection.readInbound(); next != null; next = connection.readInbound()) {
                next.body().release();
                served += next.refusal() == Refusal.NONE ? 1 : 0;
                refused += next.refusal() == Refusal.NONE ? 0 : 1;
            }
            connection.releaseOutbound();
            assertWithMessage("seed %s", seed).that(memory.usedBytes()).isEqualTo(0);
        }
        assertThat(served).isGreaterThan(SEEDS / 10);
        assertThat(refused).isGreaterThan(SEEDS / 10);
    }

    private static String randomRequests(Random random) {
        StringBuilder text = new StringBuilder();
        for (int request = random.nextInt(4); request >= 0; request--) {
            text.append("\r\n".repeat(random.nextInt(3))).append("POST /x HTTP/1.1\r\n");
            appendSome(text, HEADERS, random.nextInt(5), random);
            if (random.nextBoolean()) {
                text.append("Transfer-Encoding: chunked\r\n\r\n");
                appendSome(text, CHUNKS, random.nextInt(5), random);
                text.append("0\r\n");
                appendSome(text, TRAILERS, random.nextInt(3), random);
            }
            text.append(random.nextInt(8) == 0 ? "" : "\r\n");
        }
        return text.toString();
    }

    private static void appendSome(StringBuilder text, String[] parts, int count, Random random) {
        for (int i = 0; i < count; i++) {
            text.append(parts[random.nextInt(parts.length)]);
        }
    }

    private static void send(EmbeddedChannel connection, String text, Random random) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        int largest = 1 + random.nextInt(400);
        while (bytes.isReadable() && connection.isOpen()) {
            connection.writeInbound(
                    bytes.readRetainedSlice(Math.min(bytes.readableBytes(), 1 + random.nextInt(largest))));
        }
        bytes.release();
    }
}
