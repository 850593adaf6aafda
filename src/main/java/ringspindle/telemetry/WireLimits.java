package ringspindle.telemetry;

/** Bounds of the unsigned fields of messages, whose largest number means that there is no value. */
final class WireLimits {
    private static final int MAX_U16 = 65_534;
    private static final long MAX_U32 = 4_294_967_294L;

    private WireLimits() {}

    /** The number, or the largest that a field of 16 bits holds. */
    static int u16(int number) {
        return Math.min(MAX_U16, number);
    }

    /** The number, or the largest that a field of 32 bits holds. */
    static long u32(long number) {
        return Math.min(MAX_U32, number);
    }
}
