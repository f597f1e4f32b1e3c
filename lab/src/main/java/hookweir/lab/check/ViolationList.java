package hookweir.lab.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The violations found: all are counted, the first {@value #MAX_KEPT} are kept. */
final class ViolationList {
    /** Violations beyond this number add nothing to what is known of a history. */
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

    /** Returns the violations kept, sorted by line. */
    List<RuleChecker.Violation> list() {
        return kept.stream().sorted(Comparator.comparingLong(RuleChecker.Violation::line)).toList();
    }
}
