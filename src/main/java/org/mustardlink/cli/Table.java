package org.mustardlink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Formats rows of text in aligned columns. */
final class Table {
    private static final String COLUMN_GAP = "  ";

    private final List<ImmutableList<String>> rows = new ArrayList<>();

    private Table(List<String> header) {
        rows.add(ImmutableList.copyOf(header));
    }

    static Table of(String... header) {
        return new Table(ImmutableList.copyOf(header));
    }

    /**
     * Returns a table of a JSON array of objects, with a column for each field, or of a JSON object, with a row for
     * each field.
     */
    static Table ofJson(JsonNode node) {
        if (node.isObject()) {
            Table table = of("name", "value");
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                table.addRow(field.getKey(), cellText(field.getValue()));
            }
            return table;
        }
        Set<String> columns = new LinkedHashSet<>();
        node.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
        Table table = new Table(ImmutableList.copyOf(columns));
        node.forEach(row -> table.rows.add(
                columns.stream().map(column -> cellText(row.path(column))).collect(ImmutableList.toImmutableList())));
        return table;
    }

    Table addRow(Object... cells) {
        rows.add(Arrays.stream(cells).map(String::valueOf).collect(ImmutableList.toImmutableList()));
        return this;
    }

    @Override
    public String toString() {
        int columns = rows.stream().mapToInt(List::size).max().orElse(0);
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(Strings.padEnd(row.get(i), widths[i], ' ')).append(COLUMN_GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private static String cellText(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.isMissingNode() ? "" : value.toString();
    }
}
