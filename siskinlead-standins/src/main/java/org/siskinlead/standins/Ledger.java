package org.siskinlead.standins;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.siskinlead.protocol.json.Json;

/** Appends a JSON line for each piece of work, so that what ran is judged from outside the router. */
final class Ledger {
    private final BufferedWriter writer;

    private Ledger(BufferedWriter writer) {
        this.writer = writer;
    }

    /**
     * Opens a ledger.
     * @param file file to append to
     * @return the ledger
     */
    static Ledger open(String file) {
        try {
            return new Ledger(Files.newBufferedWriter(
                    Path.of(file), StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Appends a line before the work's answer is sent.
     * @param line what ran
     */
    synchronized void append(Object line) {
        try {
            writer.write(Json.text(line));
            writer.newLine();
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
