package org.siskinlead.standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * HTTP server that answers each request with the bytes that a {@link Misbehaviour} writes, whether or not they are a
 * valid answer. Each connection has a thread of its own.
 */
public final class MisbehavingTarget implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int MAX_HEAD_BYTES = 65_536;

    private final ServerSocket server;
    private final Misbehaviour misbehaviour;

    private MisbehavingTarget(ServerSocket server, Misbehaviour misbehaviour) {
        this.server = server;
        this.misbehaviour = misbehaviour;
    }

    /**
     * Starts a target.
     * @param address IP address and port to listen on
     * @param misbehaviour decides the bytes of each answer; called once per request, on the connection's thread
     * @return the target
     * @throws IOException if the address cannot be used
     */
    public static MisbehavingTarget start(InetSocketAddress address, Misbehaviour misbehaviour) throws IOException {
        MisbehavingTarget target =
                new MisbehavingTarget(new ServerSocket(address.getPort(), BACKLOG, address.getAddress()), misbehaviour);
        startThread(target::accept);
        return target;
    }

    /**
     * Gets the port on which the target listens.
     * @return port number
     */
    public int port() {
        return server.getLocalPort();
    }

    /** Stops accepting connections; open ones go on. */
    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        try {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                startThread(() -> converse(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void converse(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = readHead(in);
            while (!head.isEmpty()) {
                skipBody(in, head);
                misbehaviour.answer(new Conversation(socket, head));
                head = readHead(in);
            }
        } catch (IOException e) {
            // The caller closed the connection, or the misbehaviour did.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0 && head.length() < MAX_HEAD_BYTES) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static void skipBody(InputStream in, String head) throws IOException {
        String length = field(head, "content-length");
        in.skipNBytes(length.isEmpty() ? 0 : Long.parseLong(length));
    }

    private static String field(String head, String name) {
        for (String line : head.split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return "";
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "misbehaving-target");
        thread.setDaemon(true);
        thread.start();
    }

    /** Way of answering a request. */
    public interface Misbehaviour {
        /**
         * Answers a request. The connection stays open afterwards unless the conversation was closed.
         * @param conversation the request and the connection
         * @throws IOException if the caller closed the connection
         * @throws InterruptedException if the thread was interrupted
         */
        void answer(Conversation conversation) throws IOException, InterruptedException;
    }

    /** A request that was received, and the connection on which to answer it. */
    public static final class Conversation {
        private final Socket socket;
        private final String head;

        Conversation(Socket socket, String head) {
            this.socket = socket;
            this.head = head;
        }

        // Queries

        /**
         * Gets the request target.
         * @return path and query as received
         */
        public String uri() {
            return head.split(" ", 3)[1];
        }

        /**
         * Gets a header field of the request.
         * @param name name of the field, in lower case
         * @return its value, or an empty string if absent
         */
        public String header(String name) {
            return field(head, name);
        }

        /**
         * Gets the caller's port, which identifies the connection.
         * @return port number
         */
        public int port() {
            return socket.getPort();
        }

        // Commands

        /**
         * Sends text at once.
         * @param text characters that are sent as one byte each
         * @throws IOException if the caller closed the connection
         */
        public void send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /**
         * Sends text again and again until the caller closes the connection.
         * @param text text to repeat
         * @param pauseMillis pause after each repetition, in milliseconds; 0 sends at full speed
         * @throws IOException when the caller has closed the connection
         * @throws InterruptedException if the thread was interrupted
         */
        public void sendWithoutEnd(String text, long pauseMillis) throws IOException, InterruptedException {
            while (true) {
                send(text);
                if (pauseMillis > 0) {
                    TimeUnit.MILLISECONDS.sleep(pauseMillis);
                }
            }
        }

        /**
         * Waits.
         * @param millis time in milliseconds
         * @throws InterruptedException if the thread was interrupted
         */
        public void pause(long millis) throws InterruptedException {
            TimeUnit.MILLISECONDS.sleep(millis);
        }

        /**
         * Closes the connection normally, after all bytes that were sent.
         * @throws IOException if closing fails
         */
        public void close() throws IOException {
            socket.close();
        }

        /**
         * Closes the sending direction only, after all bytes that were sent.
         * @throws IOException if closing fails
         */
        public void closeSending() throws IOException {
            socket.shutdownOutput();
        }

        /**
         * Resets the connection.
         * @throws IOException if closing fails
         */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
