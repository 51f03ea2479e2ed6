package org.siskinlead.standins;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.siskinlead.protocol.json.Json;

/** Log of executed work, one JSON object per line, so that what ran can be checked independently of the router. */
final class Ledger {
    private final BufferedWriter writer;

    private Ledger(BufferedWriter writer) {
        this.writer = writer;
    }

    /** Opens a file for appending and creates it if it does not exist. */
    static Ledger open(String file) {
        try {
            return new Ledger(Files.newBufferedWriter(
                    Path.of(file), StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Appends a line and flushes it. Callers do so before they send the answer, so no answered work is missing. */
    synchronized void append(Object line) {
        try {
            writer.write(Json.writeAsString(line));
            writer.newLine();
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
