package hookweir.lab.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The breaches found: all counted, the first ones kept. */
final class ViolationList {
    /** So many are kept; a history that breaks a rule more often than that is no better known by the rest. */
    private static final int MAX_KEPT = 1000;

    private final List<RuleChecker.Violation> kept = new ArrayList<>();
    private long count;

    void add(String rule, long line, String detail) {
        count++;
        if (kept.size() < MAX_KEPT) {
            kept.add(new RuleChecker.Violation(rule, line, detail));
        }
    }

    long count() {
        return count;
    }

    /** By the line where they show. */
    List<RuleChecker.Violation> list() {
        return kept.stream().sorted(Comparator.comparingLong(RuleChecker.Violation::line)).toList();
    }
}
