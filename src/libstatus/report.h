/* Text report on a fleet from the /status documents of its nodes. */
#ifndef BB_STATUS_REPORT_H
#define BB_STATUS_REPORT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct bb_status_answer - answer of a node to a request for /status.
 * @node: IP:PORT of its operator listener
 * @error: why there is no document, or NULL
 * @document: its /status document, NULL when @error is set
 * @age_us: time since the answer arrived, or since the request failed
 */
struct bb_status_answer {
	const char *node;
	const char *error;
	json_t *document;
	int64_t age_us;
};

/**
 * bb_status_line() - describe a node in one line.
 *
 * Fields that are missing or of another type are shown as "unknown". A field
 * for which the document also has FIELD_age_ms is followed by its age at the
 * time of the report; all others are as old as the answer.
 *
 * Return: line without a line feed that the caller frees with g_free().
 */
char *bb_status_line(const struct bb_status_answer *a);

/**
 * bb_status_problems() - list the problems of the fleet.
 * @answers: answers of all nodes
 * @nr: number of @answers
 * @expect_automation_off: a node that does not confirm that automation is off
 *                         is a problem
 *
 * Return: new JSON array of sentences, empty if there is no problem.
 */
json_t *bb_status_problems(const struct bb_status_answer *answers, size_t nr,
			   bool expect_automation_off);

#endif
