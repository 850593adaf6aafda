package ringspindle.cli;

/** How a command of the command line ended; scripts rely on the numbers. */
public enum ExitCode {
    /** Everything went as asked. */
    OK(0),
    /** Something failed that no other code names. */
    FAILED(1),
    /** The command, its options or a file it names cannot be understood. */
    USAGE(2),
    /** The control plane, or the offline check, rejected the order. */
    REFUSED(3),
    /** No control node gave a clear result: the order may have been accepted. */
    NOT_REACHED(4);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** The number that the process ends with. */
    public int value() {
        return value;
    }
}
