// Package schedule provides a queue of values ordered by the time at which they
// are due. Values that are due at the same time are returned in the order in
// which they were added, so that simulations are deterministic.
package schedule

import "container/heap"

// Queue holds values of type V with the time T at which each is due. The zero
// value is an empty queue that is ready for use.
type Queue[T ~int64, V any] struct {
	entries entries[T, V]
	lastSeq uint64
}

type entry[T ~int64, V any] struct {
	dueAt T
	seq   uint64
	value V
}

// Add adds a value that is due at the time at.
func (q *Queue[T, V]) Add(at T, value V) {
	q.lastSeq++
	heap.Push(&q.entries, entry[T, V]{dueAt: at, seq: q.lastSeq, value: value})
}

// Len returns the number of values.
func (q *Queue[T, V]) Len() int { return len(q.entries) }

// NextTime returns the time of the first value. It reports false when there is none.
func (q *Queue[T, V]) NextTime() (T, bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].dueAt, true
}

// PopDue removes and returns the first value that is due at now, with its time.
// It reports false when none is due.
func (q *Queue[T, V]) PopDue(now T) (value V, at T, due bool) {
	if len(q.entries) == 0 || q.entries[0].dueAt > now {
		return value, 0, false
	}
	first := heap.Pop(&q.entries).(entry[T, V])
	return first.value, first.dueAt, true
}

// entries implements heap.Interface.
type entries[T ~int64, V any] []entry[T, V]

func (e entries[T, V]) Len() int { return len(e) }

func (e entries[T, V]) Less(i, j int) bool {
	if e[i].dueAt != e[j].dueAt {
		return e[i].dueAt < e[j].dueAt
	}
	return e[i].seq < e[j].seq
}

func (e entries[T, V]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *entries[T, V]) Push(x any) { *e = append(*e, x.(entry[T, V])) }

// Pop is part of heap.Interface. It clears the element so that the garbage
// collector can free the value.
func (e *entries[T, V]) Pop() any {
	last := len(*e) - 1
	first := (*e)[last]
	(*e)[last] = entry[T, V]{}
	*e = (*e)[:last]
	return first
}
