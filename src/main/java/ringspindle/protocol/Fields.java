package ringspindle.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;

import ringspindle.protocol.Message.View;

/** Fields that messages of several families have in common: flags, texts, bytes, and a view inside another message. */
final class Fields {
    private static final byte[] NO_BYTES = {};
    /** No field of a message is longer, in bytes. */
    private static final int LENGTH_MAX = 48 << 20;

    /** Generated {@code putX} of a field of variable length. */
    @FunctionalInterface
    interface Setter {
        /** Returns the encoder, which nobody needs. */
        Object put(byte[] source, int offset, int length);
    }

    /** Generated {@code getX} of a field of variable length. */
    @FunctionalInterface
    interface Getter {
        /** Copies the field, and returns how many bytes were copied. */
        int get(byte[] target, int offset, int length);
    }

    private Fields() {}

    /** A flag as its number in the schema. */
    static short flag(boolean set) {
        return (short) (set ? 1 : 0);
    }

    /** The flag of a number in the schema. */
    static boolean isSet(short flag) {
        return flag == 1;
    }

    static void putBytes(byte[] value, Setter setter) {
        setter.put(value, 0, value.length);
    }

    static void putText(String value, Setter setter) {
        putBytes(value.getBytes(UTF_8), setter);
    }

    /** Writes the view as a message of its own; one of no length stands for null. */
    static void putView(View value, Setter setter) {
        putBytes(value == null ? NO_BYTES : Codec.encode(value), setter);
    }

    /** Reads a field of that length; throws {@link FrameException} if no field may be as long. */
    static byte[] bytes(int length, Getter getter) {
        if (length > LENGTH_MAX) {
            throw new FrameException(FrameException.Reason.OVERSIZED, "part of " + length);
        }
        byte[] value = length == 0 ? NO_BYTES : new byte[length];
        getter.get(value, 0, length);
        return value;
    }

    static String text(int length, Getter getter) {
        return new String(bytes(length, getter), UTF_8);
    }

    /** Reads what {@link #putView} wrote; null where there is no view. */
    static View view(int length, Getter getter) {
        byte[] message = bytes(length, getter);
        return message.length == 0 ? null : (View) Codec.decode(message);
    }
}
