package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"keelusher/policy"
)

const (
	readBufferBytes  = 1 << 20
	maxEndpointLists = 16 // endpoint lists that the input may define
	maxQuotedBytes   = 40 // maximum length of input that an error quotes
	noInstance       = -1 // value of Decoder.instance until a batch selects an instance
)

// Decoder decodes the simulator's messages one at a time.
type Decoder struct {
	reader   *bufio.Reader
	line     int // number of the last line that was read
	inBatch  bool
	instance int                                 // instance to which the following lines belong
	lists    [maxEndpointLists][]policy.Endpoint // by the number that the input gave them
}

// NewDecoder returns a Decoder that reads from reader.
func NewDecoder(reader io.Reader) *Decoder {
	return &Decoder{
		reader:   bufio.NewReaderSize(reader, readBufferBytes),
		instance: noInstance,
	}
}

// Next returns the next message. It returns io.EOF when the input ends between two batches, and an error with the line
// number for invalid input.
func (d *Decoder) Next() (Message, error) {
	for {
		line, err := d.readLine()
		if err != nil {
			return Message{}, d.inputError(err)
		}
		if line == "" {
			continue
		}
		m, complete, err := d.decode(line)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if complete {
			return m, nil
		}
	}
}

// inputError returns the error that Next returns for an error of readLine.
func (d *Decoder) inputError(err error) error {
	switch {
	case errors.Is(err, io.EOF) && !d.inBatch:
		return io.EOF
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("line %d: input ends inside a batch", d.line+1)
	default:
		return fmt.Errorf("line %d: %w", d.line+1, err)
	}
}

// readLine returns the next line without its line ending. A last line without a line ending is incomplete, and gives
// io.ErrUnexpectedEOF.
func (d *Decoder) readLine() (string, error) {
	line, err := d.reader.ReadString('\n')
	if errors.Is(err, io.EOF) {
		if line == "" {
			return "", io.EOF
		}
		return "", io.ErrUnexpectedEOF
	}
	d.line++
	return strings.TrimRight(line, "\r\n"), err
}

// decode decodes one line. It returns complete as false for a line that only changes the decoder's state.
func (d *Decoder) decode(line string) (m Message, complete bool, err error) {
	word, rest, _ := strings.Cut(line, "\t")
	if err := d.checkPosition(word); err != nil {
		return m, false, err
	}
	v := newValues(word, rest)
	m.Instance = d.instance
	switch word {
	case wordInstance:
		return m, false, d.selectInstance(v)
	case wordEndpointList:
		return m, false, d.readEndpointList(v)
	case wordBatchStart:
		m.Kind = BatchStart
		m.Now = v.milliseconds(batchStartTime)
		d.inBatch = true
		d.instance = noInstance
	case wordBatchEnd:
		m.Kind = BatchEnd
		d.inBatch = false
	case wordInstanceStart:
		m.Kind = InstanceStart
		m.Seed, m.Settings, err = decodeInstanceStart(word, rest)
		return m, true, err
	case wordInstanceKilled:
		m.Kind = InstanceKilled
	case wordHealthChecked, wordInstanceMessage:
		m.Kind = Ignored
	default:
		m.Kind = PolicyEvent
		m.Event = d.decodeEvent(v)
	}
	return m, true, v.err
}

// checkPosition returns an error if a line that begins with word is not allowed at this point of the input.
func (d *Decoder) checkPosition(word string) error {
	switch word {
	case wordBatchStart:
		if d.inBatch {
			return fmt.Errorf("%s inside a batch", word)
		}
		return nil
	case wordBatchEnd, wordEndpointList, wordInstance:
		return d.requireBatch(word)
	default:
		if err := d.requireBatch(word); err != nil {
			return err
		}
		if d.instance == noInstance {
			return fmt.Errorf("%s before any %s", quote(word), wordInstance)
		}
		return nil
	}
}

// requireBatch returns an error outside a batch.
func (d *Decoder) requireBatch(word string) error {
	if !d.inBatch {
		return fmt.Errorf("%s outside a batch", quote(word))
	}
	return nil
}

// selectInstance sets the instance to which the following lines belong.
func (d *Decoder) selectInstance(v *values) error {
	instance := v.integer(instanceNumber)
	if v.err == nil && instance < 0 {
		v.fail(instanceNumber, "is negative")
	}
	d.instance = instance
	return v.err
}

// decodeInstanceStart returns the seed and the settings of a new instance. The settings are the last value of the line
// and may contain tabs.
func decodeInstanceStart(word, rest string) (uint64, policy.Settings, error) {
	seedText, settingsText, ok := strings.Cut(rest, "\t")
	if !ok {
		return 0, policy.Settings{}, fmt.Errorf("%s has no settings", word)
	}
	v := newValues(word, seedText)
	seed := v.unsigned(instanceStartSeed)
	if v.err != nil {
		return 0, policy.Settings{}, v.err
	}
	settings, err := ParseSettings([]byte(settingsText))
	return seed, settings, err
}

// quote returns a part of the input, shortened and quoted for an error.
func quote(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}
