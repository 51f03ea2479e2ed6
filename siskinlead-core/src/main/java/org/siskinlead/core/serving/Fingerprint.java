package org.siskinlead.core.serving;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes that identify equal requests and credentials. */
public final class Fingerprint {
    private Fingerprint() {}

    /**
     * Hashes parts of a request with SHA-256, each preceded by its length.
     * @param parts the parts, in order
     * @return the hash in hexadecimal
     */
    public static String of(String... parts) {
        MessageDigest digest = sha256();
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            digest.update(Integer.toString(bytes.length).getBytes(StandardCharsets.US_ASCII));
            digest.update((byte) ':');
            digest.update(bytes);
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    /**
     * Hashes a credential with SHA-256.
     * @param credential the credential
     * @return the hash in hexadecimal
     */
    public static String ofCredential(String credential) {
        return HexFormat.of().formatHex(sha256().digest(credential.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java platform does not provide SHA-256", e);
        }
    }
}
