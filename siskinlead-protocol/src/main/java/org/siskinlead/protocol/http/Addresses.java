package org.siskinlead.protocol.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses made of an IP number and a port; names are not looked up. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address.
     * @param text IP number, colon, port
     * @return the address
     * @throws IllegalArgumentException when the text is no such address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        if (bytes == null) {
            throw new IllegalArgumentException("\"" + text + "\" is not an IP number and port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), parsePort(text.substring(colon + 1), text));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not an IP number and port", e);
        }
    }

    /**
     * Writes an address.
     * @param address IP number and port
     * @return IP number, colon, port
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static int parsePort(String digits, String text) {
        try {
            int port = Integer.parseInt(digits);
            if (port > 0 && port <= MAX_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" has no port number", e);
        }
        throw new IllegalArgumentException("\"" + text + "\" has no port from 1 to " + MAX_PORT);
    }
}
