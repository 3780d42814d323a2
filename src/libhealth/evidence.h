/*
 * Statistics over the latest outcomes of one backend server and class: tests
 * whether it fails or is slow more often than the rest of its pool.
 */
#ifndef BB_LIBHEALTH_EVIDENCE_H
#define BB_LIBHEALTH_EVIDENCE_H

#include "baobabward/health.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Outcomes kept for each backend server and class. */
#define BB_EVIDENCE_SIZE 64
/* Outcomes older than this are not used. */
#define BB_EVIDENCE_WINDOW_US INT64_C(60000000)

/* One outcome. */
struct bb_evidence_sample {
	int64_t at_us; /* when the request ended */
	uint32_t latency_us;
	uint32_t account;
	uint32_t connection_ms; /* age of the connection, 0 if unknown */
	uint8_t kind; /* enum bb_outcome_kind */
	bool new_connection;
	/* Not used: a probe showed that only the old connection was dead. */
	bool discounted;
	/* Latency not used: the backend server may have just started. */
	bool cold_start;
};

/**
 * struct bb_evidence - ring buffer of the latest outcomes.
 * @next: index that the next outcome gets
 * @nr: outcomes stored
 */
struct bb_evidence {
	struct bb_evidence_sample samples[BB_EVIDENCE_SIZE];
	uint32_t next;
	uint32_t nr;
};

/**
 * struct bb_evidence_reference - what the rest of the pool shows.
 * @median_us: median of the members' median latencies
 * @spread_us: median of the members' latency spreads
 * @error_share: median of the members' shares of failed outcomes
 * @members: number of backend servers in the figures
 * @latency_known: @median_us and @spread_us are from enough members to be used
 */
struct bb_evidence_reference {
	double median_us;
	double spread_us;
	double error_share;
	unsigned int members;
	bool latency_known;
};

/* A weak finding calls for confirmation; a strong one may lead to an
 * ejection. */
enum bb_evidence_level {
	BB_EVIDENCE_NONE,
	BB_EVIDENCE_WEAK,
	BB_EVIDENCE_STRONG,
};

/**
 * struct bb_evidence_result - strongest finding in one class.
 * @level: strength of the finding
 * @slow: the finding is about latency, else about failures
 * @bad: number of bad (failed or slow) outcomes among @nr
 * @nr: number of latest outcomes in which the finding was made
 * @limit_us: latency above which an outcome counts as slow, 0 if unknown
 * @expected: share of bad outcomes that is expected of a healthy backend server
 * @class_id: class of the finding, set by the caller
 * @since_us: time of the first bad outcome among @nr
 * @dead_connection_excluded: at least one bad outcome cannot be due to a dead
 *                            connection
 * @bad_us: time of the latest bad outcome, 0 if there is none
 * @slow_probability: probability by chance of the number of slow outcomes; the
 *                    smallest over the tested numbers of latest outcomes
 */
struct bb_evidence_result {
	enum bb_evidence_level level;
	bool slow;
	unsigned int bad;
	unsigned int nr;
	double limit_us;
	double expected;
	uint32_t class_id;
	int64_t since_us;
	bool dead_connection_excluded;
	int64_t bad_us;
	double slow_probability;
};

void bb_evidence_add(struct bb_evidence *e, const struct bb_health_outcome *o,
		     int64_t now_us);

/*
 * Discounts timeouts and silent connections, except on new connections, of
 * requests that began by @until_us. Return: their number.
 */
unsigned int bb_evidence_discount(struct bb_evidence *e, int64_t until_us);

/* Leaves out the latency of the latest outcome: it may be a cold start's. */
void bb_evidence_mark_cold_start(struct bb_evidence *e);

/* Uses the latencies of all outcomes: there was no cold start. */
void bb_evidence_clear_cold_start(struct bb_evidence *e);

/*
 * Whether a response since @since_us came on a connection that was opened by
 * @opened_us.
 */
bool bb_evidence_has_older_connection(const struct bb_evidence *e,
				      int64_t opened_us, int64_t since_us);

/**
 * bb_evidence_judge() - compare the latest outcomes with those of the pool.
 * @e: outcomes of the backend server
 * @r: reference from the rest of the pool
 * @since_us: outcomes before this time are left out
 * @latency_since_us: latencies before this time are left out
 * @out: set to the strongest finding
 */
void bb_evidence_judge(const struct bb_evidence *e,
		       const struct bb_evidence_reference *r, int64_t since_us,
		       int64_t latency_since_us,
		       struct bb_evidence_result *out);

/*
 * The same over the outcomes of @nr classes, merged in the order of time: with
 * few requests, a failing or slow backend server has too few bad outcomes in
 * each single class. Each latency is compared with the pool's latencies in its
 * own class, and failures with the class in which the pool fails most.
 */
void bb_evidence_judge_merged(const struct bb_evidence *e,
			      const struct bb_evidence_reference *r,
			      unsigned int nr, int64_t since_us,
			      int64_t latency_since_us,
			      struct bb_evidence_result *out);

/* Latency above which an outcome counts as slow. */
double bb_evidence_slow_limit_us(const struct bb_evidence_reference *r);

/* Probability of at least @bad of @nr, each bad with probability @share. */
double bb_binomial_tail(unsigned int bad, unsigned int nr, double share);

/* Summarizes outcomes since @since_us; @out->samples is 0 if there are none. */
void bb_evidence_summary(const struct bb_evidence *e, int64_t since_us,
			 int64_t now_us, struct bb_pool_summary *out);

/*
 * Failures per thousand among the latest 8 outcomes of @nr classes together, 0
 * if there are fewer outcomes.
 */
uint32_t bb_evidence_merged_error_permille(const struct bb_evidence *e,
					   unsigned int nr, int64_t since_us);

bool bb_evidence_failed(enum bb_outcome_kind kind);

#ifdef __cplusplus
}
#endif
#endif
