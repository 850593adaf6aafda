package ringspindle.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses documents for storage and transport; stored data depends on the format, zlib's. */
final class Compression {
    private Compression() {}

    static byte[] deflate(byte[] plain) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
            deflater.write(plain);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return compressed.toByteArray();
    }

    static byte[] inflate(byte[] compressed) {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            return inflater.readAllBytes();
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }
}
