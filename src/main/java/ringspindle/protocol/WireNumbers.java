package ringspindle.protocol;

import java.util.Arrays;
import java.util.function.ToIntFunction;

/**
 * The constants of an enum by the numbers that stand for them in messages and on disk. A number that this program does
 * not know stands for one constant that says so, since a newer program may have more of them.
 */
final class WireNumbers<E extends Enum<E>> {
    /** Null where no constant has the number. */
    private final E[] byNumber;

    private final E unknown;

    /**
     * @param constants all constants; their numbers are small and not below zero
     * @param unknown the one for numbers that no other constant has
     */
    WireNumbers(E[] constants, ToIntFunction<E> numberOf, E unknown) {
        this.unknown = unknown;
        int highest = 0;
        for (E constant : constants) {
            highest = Math.max(highest, numberOf.applyAsInt(constant));
        }
        byNumber = Arrays.copyOf(constants, highest + 1);
        Arrays.fill(byNumber, null);
        for (E constant : constants) {
            byNumber[numberOf.applyAsInt(constant)] = constant;
        }
    }

    /** The constant of that number, or the unknown one. */
    E of(int number) {
        E found = number >= 0 && number < byNumber.length ? byNumber[number] : null;
        return found == null ? unknown : found;
    }
}
