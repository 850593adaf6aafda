package ringspindle.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import java.util.regex.Pattern;

/** Accepts a Prompt-Prefix value: parts of the form {@code hash:tokens}, separated by commas, or nothing. */
public final class PromptPrefixValidator implements IParameterValidator {
    private static final String PART = "[^:,\\s]+:\\d{1,9}";
    private static final Pattern PREFIX = Pattern.compile("(" + PART + "(," + PART + ")*)?");

    @Override
    public void validate(String name, String value) {
        if (!PREFIX.matcher(value).matches()) {
            throw new ParameterException(name + " expects hash:tokens,... and not " + value);
        }
    }
}
