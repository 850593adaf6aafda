package ringspindle.cli;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints JSON objects as rows of a table, one column a field, padded to the widest cell. */
final class TablePrinter {
    private static final int GAP = 2;

    private final List<String> columns;

    /** A table of the named fields, which are its heading too. */
    TablePrinter(List<String> columns) {
        this.columns = columns;
    }

    /** Prints a heading and a line for each row; fields that a row lacks are blank, and null is no rows. */
    void print(JsonArray rows, PrintStream out) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns);
        if (rows != null) {
            rows.getValuesAs(JsonObject.class).forEach(row -> lines.add(cells(row)));
        }
        int[] widths = widths(lines);
        lines.forEach(line -> out.println(padded(line, widths)));
    }

    private List<String> cells(JsonObject row) {
        return columns.stream().map(column -> text(row.get(column))).toList();
    }

    private static String text(JsonValue value) {
        if (value == null) {
            return "";
        }
        return value instanceof JsonString string ? string.getString() : value.toString();
    }

    private int[] widths(List<List<String>> lines) {
        int[] widths = new int[columns.size()];
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        return widths;
    }

    private static String padded(List<String> line, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String cell = line.get(i);
            text.append(cell).append(" ".repeat(widths[i] - cell.length() + GAP));
        }
        return text.toString().stripTrailing();
    }
}
