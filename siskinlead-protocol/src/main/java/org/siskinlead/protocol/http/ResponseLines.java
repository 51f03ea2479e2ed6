package org.siskinlead.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.siskinlead.protocol.http.MalformedResponseException.Defect;

/**
 * Grammar of the lines of a response, by RFC 9112, sections 4, 5, 6 and 7. Lenient only where the standard allows it: a reason
 * may be missing, and a field may be continued on the next line. The codec checks how lines end.
 */
final class ResponseLines {
    private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int STATUS_AT = VERSION_PREFIX.length + 2;
    private static final int STATUS_DIGITS = 3;
    private static final int MAX_CHUNK_SIZE_DIGITS = 15;
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final int DELETE = 0x7f;
    private static final int BYTE_VALUES = 256;
    /** Bytes of which a token consists. */
    private static final boolean[] TOKEN = new boolean[BYTE_VALUES];
    /** Bytes that text must not have: control characters but the tab. */
    private static final boolean[] CONTROL = new boolean[BYTE_VALUES];

    static {
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                .chars()
                .forEach(c -> TOKEN[c] = true);
        for (int c = 0; c < ' '; c++) {
            CONTROL[c] = c != '\t';
        }
        CONTROL[DELETE] = true;
    }

    private ResponseLines() {}

    /** Length of a body that is sent in chunks. */
    static final long CHUNKED = -1;

    /**
     * Reads a status line.
     * @param line the line without its end
     * @param length number of its bytes
     * @return the status
     * @throws MalformedResponseException if it is none
     */
    static int status(byte[] line, int length) {
        boolean hasStatus = length >= STATUS_AT + STATUS_DIGITS
                && startsWithVersion(line)
                && (length == STATUS_AT + STATUS_DIGITS || line[STATUS_AT + STATUS_DIGITS] == ' ');
        if (!hasStatus) {
            throw MalformedResponseException.of(
                    length >= STATUS_AT && startsWithVersion(line) ? Defect.STATUS : Defect.STATUS_LINE, line, length);
        }
        int status = 0;
        for (int i = STATUS_AT; i < STATUS_AT + STATUS_DIGITS; i++) {
            if (!isDigit(line[i])) {
                throw MalformedResponseException.of(Defect.STATUS, line, length);
            }
            status = 10 * status + line[i] - '0';
        }
        if (line[STATUS_AT] == '0') {
            throw MalformedResponseException.of(Defect.STATUS, line, length);
        }
        checkText(line, STATUS_AT + STATUS_DIGITS, length, Defect.STATUS_LINE);
        return status;
    }

    private static boolean startsWithVersion(byte[] line) {
        for (int i = 0; i < VERSION_PREFIX.length; i++) {
            if (line[i] != VERSION_PREFIX[i]) {
                return false;
            }
        }
        return isDigit(line[VERSION_PREFIX.length]) && line[VERSION_PREFIX.length + 1] == ' ';
    }

    /**
     * Checks a field line.
     * @param line the line without its end, which does not continue an earlier one
     * @param length number of its bytes, at least 1
     * @return length of its name
     * @throws MalformedResponseException if it is none
     */
    static int nameLength(byte[] line, int length) {
        int end = 0;
        while (end < length && line[end] != ':') {
            if (!TOKEN[line[end] & 0xff]) {
                throw MalformedResponseException.of(Defect.FIELD_NAME, line, length);
            }
            end++;
        }
        if (end == 0 || end == length) {
            throw MalformedResponseException.of(Defect.FIELD_NAME, line, length);
        }
        checkText(line, end, length, Defect.FIELD_VALUE);
        return end;
    }

    /** Checks that text has no control character but the tab. */
    static void checkText(byte[] line, int from, int length, Defect defect) {
        for (int i = from; i < length; i++) {
            if (CONTROL[line[i] & 0xff]) {
                throw MalformedResponseException.of(defect, line, length);
            }
        }
    }

    /** Tells whether a line continues the field before (RFC 9112, section 5.2). */
    static boolean isContinuation(byte[] line, int length) {
        return length > 0 && (line[0] == ' ' || line[0] == '\t');
    }

    /** Tells whether a field says where the body ends. */
    static boolean isFraming(byte[] line, int nameLength) {
        return isNamed(line, nameLength, "transfer-encoding") || isNamed(line, nameLength, "content-length");
    }

    /**
     * Reads a field that says where the body ends.
     * @param line the line without its end
     * @param length number of its bytes
     * @param nameLength length of its name
     * @return bytes of the body, or {@link #CHUNKED}
     * @throws MalformedResponseException if the length is no number, or the coding is not "chunked"
     */
    static long bodyLength(byte[] line, int length, int nameLength) {
        String value = new String(line, nameLength + 1, length - nameLength - 1, StandardCharsets.ISO_8859_1).strip();
        if (isNamed(line, nameLength, "transfer-encoding")) {
            if (!value.toLowerCase(Locale.ROOT).equals("chunked")) {
                throw MalformedResponseException.of(Defect.FRAMING, line, length);
            }
            return CHUNKED;
        }
        if (value.isEmpty()
                || value.length() > MAX_LENGTH_DIGITS
                || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw MalformedResponseException.of(Defect.FRAMING, line, length);
        }
        return Long.parseLong(value);
    }

    private static boolean isNamed(byte[] line, int nameLength, String name) {
        if (nameLength != name.length()) {
            return false;
        }
        for (int i = 0; i < nameLength; i++) {
            if (Character.toLowerCase((char) line[i]) != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Reads the size of a chunk.
     * @param line the line without its end
     * @param length number of its bytes
     * @return bytes of the chunk, 0 for the last one
     * @throws MalformedResponseException if there is no size
     */
    static long chunkSize(byte[] line, int length) {
        int end = 0;
        long size = 0;
        while (end < length && Character.digit(line[end], 16) >= 0 && end <= MAX_CHUNK_SIZE_DIGITS) {
            size = 16 * size + Character.digit(line[end], 16);
            end++;
        }
        boolean hasSize = end > 0 && end <= MAX_CHUNK_SIZE_DIGITS;
        int next = end;
        while (next < length && (line[next] == ' ' || line[next] == '\t')) {
            next++;
        }
        if (!hasSize || (next < length && line[next] != ';')) {
            throw MalformedResponseException.of(Defect.CHUNK, line, length);
        }
        checkText(line, next, length, Defect.CHUNK);
        return size;
    }

    private static boolean isDigit(byte value) {
        return value >= '0' && value <= '9';
    }
}
