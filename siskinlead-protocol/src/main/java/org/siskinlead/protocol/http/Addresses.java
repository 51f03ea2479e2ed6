package org.siskinlead.protocol.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats socket addresses of an IP address and a port. Host names are rejected, not resolved. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address.
     * @param text IP address, colon and port, such as {@code 10.0.0.1:8080}
     * @return the address
     * @throws IllegalArgumentException if the text has another form or its port is not from 1 to 65535
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        if (bytes == null) {
            throw new IllegalArgumentException("\"" + text + "\" is not an IP address and port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), parsePort(text.substring(colon + 1), text));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not an IP address and port", e);
        }
    }

    /**
     * Formats an address.
     * @param address IP address and port
     * @return IP address, colon and port
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static int parsePort(String digits, String text) {
        // Integer.parseInt also takes a sign and the digits of other scripts.
        if (!digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("\"" + text + "\" has a port that is not a number");
        }
        try {
            int port = Integer.parseInt(digits);
            if (port > 0 && port <= MAX_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" has a port that is not a number", e);
        }
        throw new IllegalArgumentException("\"" + text + "\" has a port that is not from 1 to " + MAX_PORT);
    }
}
