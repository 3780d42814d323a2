/*
 * Judges a run of src/bench/fault_run.sh: compares the answers that callers got
 * with the executions that backend servers logged, and reports each violation
 * of an invariant: executions that happened more often than allowed or
 * contradict a verdict, that a configuration forbids or exceed a rate, and
 * requests interrupted by a planned stop.
 *
 * fault_judge --now                      prints the time of bb_clock_now_us()
 * fault_judge DIRECTORY ACCOUNT:RATE:BURST...
 *
 * Reads in DIRECTORY: "events" with lines "US FAULT TARGET begin|end [CODE]",
 * "load.ACCOUNT" (load_generator --each --padding, URL number N being hostN)
 * and "order*.log" (standard output of backend_standin). Prints attempts by
 * fault and outcome, and each violation with its request id. Exit code: 0
 * without violations, 1 with violations, 2 when the run cannot be judged.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/clock.h"

/* Longest time from the publication of a version until it is in force on all
 * nodes. */
#define CONFIG_IN_FORCE_MAX_US (10 * BB_US_PER_S)

/* Verdict of an answer; FAILED: the caller got no answer or no verdict. */
enum outcome { RAN, NOT_RUN, MAY_HAVE_RUN, FAILED, OUTCOME_COUNT };

static const char *const outcome_names[] = { "ran", "not-run", "may-have-run",
					     "failed" };
G_STATIC_ASSERT(G_N_ELEMENTS(outcome_names) == OUTCOME_COUNT);

/**
 * struct attempt - attempt of a caller.
 * @id: X-Test-Id of the attempt
 * @request_id: id that all attempts with one idempotency key share; @id for an
 *              attempt without a key
 * @outcome: verdict of the answer
 * @has_verdict: the answer has a valid verdict
 * @may_be_interrupted: if the attempt failed, a stop of its entry node may be
 *                      the cause
 * @wrong_answer: the answer belongs to another request
 * @status: HTTP status, 0 without an answer
 * @start_us: time at which the caller sent it
 * @end_us: time at which the caller had its result
 * @host: number of the host of the entry node
 */
struct attempt {
	char *id;
	char *request_id;
	enum outcome outcome;
	bool has_verdict;
	bool may_be_interrupted;
	bool wrong_answer;
	long status;
	int64_t start_us;
	int64_t end_us;
	int host;
};

/**
 * struct execution - execution on a backend server.
 * @id: X-Test-Id of the attempt
 * @backend: name of the backend server
 * @us: time at which it began
 */
struct execution {
	char *id;
	char *backend;
	int64_t us;
};

/**
 * struct fault - injected fault or other event of the run.
 * @name: kind of fault
 * @target: host, backend server or client account
 * @begin_us: time at which it began
 * @end_us: time at which it ended, INT64_MAX until then
 * @code: exit code of the node after a planned stop, -1 if there is none
 */
struct fault {
	char *name;
	char *target;
	int64_t begin_us;
	int64_t end_us;
	int code;
};

/**
 * struct judge - logs of a run.
 * @by_id: attempts by id
 * @executions_by_attempt: number of executions by id of the attempt
 * @executions_by_request: number of executions by request_id
 * @violations: number of reported violations
 */
struct judge {
	GPtrArray *attempts;
	GPtrArray *executions;
	GPtrArray *faults;
	GHashTable *by_id;
	GHashTable *executions_by_attempt;
	GHashTable *executions_by_request;
	guint violations;
};

static void report_violation(struct judge *j, const char *what, const char *id,
			     const char *detail)
{
	j->violations++;
	printf("VIOLATION: %s: %s%s%s\n", what, id, *detail ? ": " : "",
	       detail);
}

static bool is_keyed(const char *id)
{
	return strstr(id, "-k-") != NULL;
}

static bool is_booking(const char *id)
{
	return is_keyed(id) || strstr(id, "-b-");
}

static char *request_id_of(const char *id)
{
	return is_keyed(id) ? g_strndup(id, strcspn(id, ".")) : g_strdup(id);
}

static bool is_of_account(const char *id, const char *account)
{
	size_t n = strlen(account);

	return !strncmp(id, account, n) && id[n] == '-';
}

static guint execution_count(GHashTable *t, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(t, id));
}

static void count_execution(GHashTable *t, const char *id)
{
	g_hash_table_replace(t, g_strdup(id),
			     GUINT_TO_POINTER(execution_count(t, id) + 1));
}

static bool parse_outcome(const char *verdict, enum outcome *outcome)
{
	for (int i = 0; i < FAILED; i++) {
		if (g_str_equal(verdict, outcome_names[i])) {
			*outcome = (enum outcome)i;
			return true;
		}
	}
	return false;
}

/* Line "ID STATUS VERDICT LATENCY START URL ANSWER" or "ID failed: TEXT LATENCY
 * START URL ANSWER", where TEXT may have several words. */
static bool add_attempt(struct judge *j, const char *line, char **w, guint n)
{
	struct attempt *a;

	if (n < 7)
		return false;
	a = g_new0(struct attempt, 1);
	a->id = g_strdup(w[0]);
	a->request_id = request_id_of(w[0]);
	a->start_us = g_ascii_strtoll(w[n - 3], NULL, 10);
	a->end_us = a->start_us + g_ascii_strtoll(w[n - 4], NULL, 10);
	a->host = atoi(w[n - 2]);
	a->wrong_answer = g_str_equal(w[n - 1], "wrong");
	a->outcome = FAILED;
	/* A stop is not the cause of the caller's own time-out, nor if no
	 * connection was made. */
	a->may_be_interrupted = !strstr(line, "Timeout was reached") &&
				!strstr(line, "Couldn't connect");
	if (!g_str_equal(w[1], "failed:")) {
		a->status = strtol(w[1], NULL, 10);
		a->has_verdict = parse_outcome(w[2], &a->outcome);
	}
	g_ptr_array_add(j->attempts, a);
	g_hash_table_insert(j->by_id, a->id, a);
	return true;
}

static bool add_execution(struct judge *j, const char *line, char **w, guint n)
{
	struct execution *e;
	char *request_id;

	(void)line;
	if (n != 3)
		return false;
	e = g_new0(struct execution, 1);
	e->backend = g_strdup(w[0]);
	e->us = g_ascii_strtoll(w[1], NULL, 10);
	e->id = g_strdup(w[2]);
	g_ptr_array_add(j->executions, e);
	count_execution(j->executions_by_attempt, e->id);
	request_id = request_id_of(e->id);
	count_execution(j->executions_by_request, request_id);
	g_free(request_id);
	return true;
}

static bool end_fault(struct judge *j, char **w, guint n)
{
	for (guint i = j->faults->len; i-- > 0;) {
		struct fault *f = g_ptr_array_index(j->faults, i);

		if (f->end_us != INT64_MAX || !g_str_equal(f->name, w[1]) ||
		    !g_str_equal(f->target, w[2]))
			continue;
		f->end_us = g_ascii_strtoll(w[0], NULL, 10);
		f->code = n > 4 ? atoi(w[4]) : -1;
		return true;
	}
	return false;
}

static bool add_event(struct judge *j, const char *line, char **w, guint n)
{
	struct fault *f;

	(void)line;
	if (n < 4)
		return false;
	if (g_str_equal(w[3], "end"))
		return end_fault(j, w, n);
	f = g_new0(struct fault, 1);
	f->begin_us = g_ascii_strtoll(w[0], NULL, 10);
	f->end_us = INT64_MAX;
	f->name = g_strdup(w[1]);
	f->target = g_strdup(w[2]);
	f->code = -1;
	g_ptr_array_add(j->faults, f);
	return true;
}

typedef bool (*add_line_fn)(struct judge *j, const char *line, char **words,
			    guint n);

static bool read_lines(struct judge *j, const char *directory, const char *file,
		       add_line_fn add)
{
	char *path = g_build_filename(directory, file, NULL);
	char *text = NULL;
	char **lines;
	bool ok = g_file_get_contents(path, &text, NULL, NULL);

	lines = g_strsplit(ok ? text : "", "\n", -1);
	for (guint i = 0; ok && lines[i] && *lines[i]; i++) {
		char **w = g_strsplit(lines[i], " ", -1);

		ok = add(j, lines[i], w, g_strv_length(w));
		if (!ok)
			fprintf(stderr, "fault_judge: %s: line %u: %s\n", file,
				i + 1, lines[i]);
		g_strfreev(w);
	}
	if (!text)
		fprintf(stderr, "fault_judge: cannot read %s\n", path);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return ok;
}

static bool read_run(struct judge *j, const char *directory)
{
	GDir *d = g_dir_open(directory, 0, NULL);
	const char *name;
	bool ok = d && read_lines(j, directory, "events", add_event);

	while (ok && (name = g_dir_read_name(d))) {
		if (g_str_has_prefix(name, "load."))
			ok = read_lines(j, directory, name, add_attempt);
		else if (g_str_has_prefix(name, "order") &&
			 g_str_has_suffix(name, ".log"))
			ok = read_lines(j, directory, name, add_execution);
	}
	if (d)
		g_dir_close(d);
	return ok;
}

static void judge_repeated_executions(struct judge *j)
{
	GHashTableIter i;
	gpointer id, n;

	g_hash_table_iter_init(&i, j->executions_by_request);
	while (g_hash_table_iter_next(&i, &id, &n))
		if (is_booking(id) && GPOINTER_TO_UINT(n) > 1)
			report_violation(
				j,
				is_keyed(id) ? "an idempotency key ran twice" :
					       "a booking ran twice",
				id, "");
}

static void judge_attempt(struct judge *j, const struct attempt *a)
{
	guint ran = execution_count(j->executions_by_attempt, a->id);

	if (a->status && !a->has_verdict)
		report_violation(j, "answer without a verdict", a->id, "");
	if (a->status == 200 && a->outcome != RAN)
		report_violation(j, "200 without \"ran\"", a->id, "");
	if (a->status && a->outcome == NOT_RUN && ran)
		report_violation(j, "\"not-run\" but it ran", a->id, "");
	/* An attempt with a repeated key may get the outcome of an earlier
	 * attempt of the same request. */
	if (a->outcome == RAN &&
	    !execution_count(j->executions_by_request, a->request_id))
		report_violation(j, "\"ran\" but it did not run", a->id, "");
	if (a->wrong_answer)
		report_violation(j, "answer to another request", a->id, "");
}

/* Reports a failed attempt during a planned stop of its entry node that ended
 * without an error. */
static void judge_stop(struct judge *j, const struct attempt *a)
{
	for (guint i = 0; i < j->faults->len; i++) {
		const struct fault *f = g_ptr_array_index(j->faults, i);

		if (!g_str_has_prefix(f->name, "stop") || f->code != 0 ||
		    atoi(f->target + strlen("host")) != a->host)
			continue;
		if (a->outcome == FAILED && !a->status &&
		    a->may_be_interrupted && a->start_us <= f->end_us &&
		    a->end_us >= f->begin_us)
			report_violation(j, "cut by a planned stop", a->id,
					 f->target);
	}
}

/* Reports executions with a withdrawn key, or on a leaving backend server,
 * after the version that says so has to be in force. */
static void judge_versions(struct judge *j)
{
	for (guint i = 0; i < j->faults->len; i++) {
		const struct fault *f = g_ptr_array_index(j->faults, i);
		bool is_withdrawal = g_str_equal(f->name, "withdraw");

		if (!is_withdrawal && !g_str_equal(f->name, "leave"))
			continue;
		for (guint k = 0; k < j->executions->len; k++) {
			struct execution *e =
				g_ptr_array_index(j->executions, k);
			bool affected =
				is_withdrawal ?
					is_of_account(e->id, f->target) :
					g_str_equal(e->backend, f->target);

			if (affected &&
			    e->us > f->begin_us + CONFIG_IN_FORCE_MAX_US &&
			    e->us < f->end_us)
				report_violation(
					j,
					is_withdrawal ?
						"ran with a withdrawn key" :
						"ran on a leaving backend",
					e->id, e->backend);
		}
	}
}

static gint compare_time(gconstpointer a, gconstpointer b)
{
	int64_t x = (*(struct execution *const *)a)->us;
	int64_t y = (*(struct execution *const *)b)->us;

	return (x > y) - (x < y);
}

static int64_t start_of(const struct judge *j, const struct execution *e)
{
	const struct attempt *a = g_hash_table_lookup(j->by_id, e->id);

	return a ? a->start_us : e->us;
}

/*
 * Reports an excess over the rate limit of a client account. A request is
 * admitted between its start at the caller and its execution. The executions in
 * a window whose requests also started in it were therefore admitted in it, and
 * are at most burst + rate * window. Each window begins with the start of a
 * request; only the largest excess is reported.
 */
static void judge_rate(struct judge *j, const char *account, double rate,
		       double burst)
{
	GPtrArray *executions = g_ptr_array_new();
	const char *max_excess_id = NULL;
	double max_excess = 0;
	char detail[64];

	for (guint i = 0; i < j->executions->len; i++) {
		struct execution *e = g_ptr_array_index(j->executions, i);

		if (is_of_account(e->id, account))
			g_ptr_array_add(executions, e);
	}
	g_ptr_array_sort(executions, compare_time);
	for (guint i = 0; i < executions->len; i++) {
		const struct execution *first =
			g_ptr_array_index(executions, i);
		int64_t begin_us = start_of(j, first);
		guint n = 0;

		for (guint k = 0; k < executions->len; k++) {
			const struct execution *e =
				g_ptr_array_index(executions, k);
			double excess;

			if (e->us < begin_us || start_of(j, e) < begin_us)
				continue;
			excess =
				++n - burst -
				rate * (double)(e->us - begin_us) / BB_US_PER_S;
			if (excess > max_excess) {
				max_excess = excess;
				max_excess_id = first->id;
			}
		}
	}
	printf("%s: %u executions\n", account, executions->len);
	g_snprintf(detail, sizeof(detail), "%.1f executions over the limit",
		   max_excess);
	if (max_excess_id)
		report_violation(j,
				 "rate exceeded in a window that begins with",
				 max_excess_id, detail);
	g_ptr_array_free(executions, TRUE);
}

/* @argument: ACCOUNT:RATE:BURST */
static bool judge_account(struct judge *j, const char *argument)
{
	char **w = g_strsplit(argument, ":", -1);
	bool ok = g_strv_length(w) == 3;

	if (ok)
		judge_rate(j, w[0], g_ascii_strtod(w[1], NULL),
			   g_ascii_strtod(w[2], NULL));
	g_strfreev(w);
	return ok;
}

/* Tells whether an attempt overlaps with a fault of that name; with name NULL,
 * whether it overlaps with none. */
static bool is_during_fault(const struct judge *j, const struct attempt *a,
			    const char *name)
{
	bool any = false;

	for (guint i = 0; i < j->faults->len; i++) {
		const struct fault *f = g_ptr_array_index(j->faults, i);

		if (a->end_us < f->begin_us || a->start_us > f->end_us)
			continue;
		any = true;
		if (name && g_str_equal(f->name, name))
			return true;
	}
	return !name && !any;
}

static void print_outcomes(const struct judge *j, const char *name)
{
	guint count[OUTCOME_COUNT] = { 0 };
	guint sum = 0;

	for (guint i = 0; i < j->attempts->len; i++) {
		const struct attempt *a = g_ptr_array_index(j->attempts, i);

		if (is_during_fault(j, a, name)) {
			count[a->outcome]++;
			sum++;
		}
	}
	printf("%-18s %9u", name ? name : "none", sum);
	for (int i = 0; i < OUTCOME_COUNT; i++)
		printf(" %12u", count[i]);
	putchar('\n');
}

static void print_summary(const struct judge *j)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	printf("%-18s %9s", "attempts during", "sum");
	for (int i = 0; i < OUTCOME_COUNT; i++)
		printf(" %12s", outcome_names[i]);
	putchar('\n');
	print_outcomes(j, NULL);
	for (guint i = 0; i < j->faults->len; i++) {
		struct fault *f = g_ptr_array_index(j->faults, i);

		if (g_hash_table_add(seen, f->name))
			print_outcomes(j, f->name);
	}
	for (guint i = 0; i < j->faults->len; i++) {
		const struct fault *f = g_ptr_array_index(j->faults, i);

		if (g_str_has_prefix(f->name, "stop") && f->code != 0)
			printf("%s ended its planned stop with %d\n", f->target,
			       f->code);
	}
	g_hash_table_destroy(seen);
}

static void free_attempt(gpointer data)
{
	struct attempt *a = data;

	g_free(a->id);
	g_free(a->request_id);
	g_free(a);
}

static void free_execution(gpointer data)
{
	struct execution *e = data;

	g_free(e->id);
	g_free(e->backend);
	g_free(e);
}

static void free_fault(gpointer data)
{
	struct fault *f = data;

	g_free(f->name);
	g_free(f->target);
	g_free(f);
}

int main(int argc, char **argv)
{
	struct judge j = { 0 };
	bool ok;

	if (argc == 2 && g_str_equal(argv[1], "--now")) {
		printf("%" G_GINT64_FORMAT "\n", bb_clock_now_us());
		return 0;
	}
	if (argc < 2) {
		fprintf(stderr, "usage: fault_judge --now\n"
				"       fault_judge DIRECTORY "
				"ACCOUNT:RATE:BURST...\n");
		return 2;
	}
	j.attempts = g_ptr_array_new_with_free_func(free_attempt);
	j.executions = g_ptr_array_new_with_free_func(free_execution);
	j.faults = g_ptr_array_new_with_free_func(free_fault);
	j.by_id = g_hash_table_new(g_str_hash, g_str_equal);
	j.executions_by_attempt =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	j.executions_by_request =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ok = read_run(&j, argv[1]) && j.attempts->len && j.executions->len;
	if (ok)
		print_summary(&j);
	for (int i = 2; ok && i < argc; i++)
		ok = judge_account(&j, argv[i]);
	if (ok) {
		judge_repeated_executions(&j);
		judge_versions(&j);
	}
	for (guint i = 0; ok && i < j.attempts->len; i++) {
		judge_attempt(&j, g_ptr_array_index(j.attempts, i));
		judge_stop(&j, g_ptr_array_index(j.attempts, i));
	}
	if (ok)
		printf("judged: %u attempts, %u executions, %u faults, "
		       "%u violations\n",
		       j.attempts->len, j.executions->len, j.faults->len,
		       j.violations);
	g_hash_table_destroy(j.by_id);
	g_hash_table_destroy(j.executions_by_attempt);
	g_hash_table_destroy(j.executions_by_request);
	g_ptr_array_unref(j.attempts);
	g_ptr_array_unref(j.executions);
	g_ptr_array_unref(j.faults);
	if (!ok)
		return 2;
	return j.violations ? 1 : 0;
}
