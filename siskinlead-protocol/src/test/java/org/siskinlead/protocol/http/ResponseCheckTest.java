package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.siskinlead.protocol.http.MalformedResponseException.Defect;

/** Tests the check of raw bytes: what it passes on, what it reports, and whether a connection can be used again. */
class ResponseCheckTest {
    private static final int MAX_LINE_BYTES = 100;
    private static final String SOUND = "HTTP/1.1 200 OK\r\nX-Odd: v\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "4\r\nbody\r\n0\r\nX-After: v\r\n\r\n";

    private final ResponseCheck check = new ResponseCheck(MAX_LINE_BYTES);
    private final EmbeddedChannel channel = new EmbeddedChannel(check);

    // Guards against bytes that are lost or passed on twice where a response is cut.
    @Test
    void passesASoundResponseOnWhereverItIsCut() {
        for (int cut = 1; cut < SOUND.length(); cut++) {
            receive(SOUND.substring(0, cut));
            receive(SOUND.substring(cut));

            assertThat(passedOn()).isEqualTo(SOUND);
            assertThat(check.expectAnother()).isTrue();
        }
    }

    @Test
    void passesASoundResponseOnThatComesByteByByte() {
        for (char each : SOUND.toCharArray()) {
            receive(String.valueOf(each));
        }

        assertThat(passedOn()).isEqualTo(SOUND);
    }

    // Guards against a codec that sees a part of a bad line and repairs it.
    @Test
    void passesNothingOnFromABadLine() {
        receive("HTTP/1.1 200 OK\r\nX-O");
        MalformedResponseException problem =
                assertThrows(MalformedResponseException.class, () -> receive("dd : v\r\nContent-Length: 3\r\n\r\n"));
        receive("HTTP/1.1 200 OK\r\n\r\n");

        assertThat(problem.defect()).isEqualTo(Defect.FIELD_NAME);
        assertThat(passedOn()).isEqualTo("HTTP/1.1 200 OK\r\n");
        assertThat(check.expectAnother()).isFalse();
    }

    // Guards against log lines that a target can forge or fill.
    @Test
    void quotesABadLineWithoutControlBytesAndNotAllOfALongOne() {
        MalformedResponseException problem = assertThrows(
                MalformedResponseException.class,
                () -> receive("HTTP/1.1 000 \u0001\u00e4\"\u007f" + "x".repeat(80) + "\r\n"));

        assertThat(problem).hasMessageThat().startsWith("STATUS in \"HTTP/1.1 000 \\x01\\xe4\\x22\\x7fxxx");
        assertThat(problem).hasMessageThat().endsWith("x...\"");
        assertThat(problem.getMessage().length()).isLessThan(MAX_LINE_BYTES);
    }

    @Test
    void refusesALineWithoutEnd() {
        MalformedResponseException problem =
                assertThrows(MalformedResponseException.class, () -> receive("HTTP/1.1 200 " + "x".repeat(200)));

        assertThat(problem.defect()).isEqualTo(Defect.TOO_LONG);
    }

    // Guards against an answer behind another one that is taken for that to the next request.
    @Test
    void letsNoConnectionBeUsedAgainOnWhichMoreThanAResponseHasArrived() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodysurplus");

        assertThat(passedOn()).isEqualTo("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
        assertThat(check.expectAnother()).isFalse();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String passedOn() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf bytes = channel.readInbound(); bytes != null; bytes = channel.readInbound()) {
            text.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }
        return text.toString();
    }
}
